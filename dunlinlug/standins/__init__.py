"""Plain stand-ins for a day on loopback: they obey, serve and record, and judge nothing."""

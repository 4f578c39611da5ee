"""The verdict on a day, from the stand-ins' records alone."""

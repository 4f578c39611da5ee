"""The running manager: hosts one decision module and carries out what it orders; decides nothing."""

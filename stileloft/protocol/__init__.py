"""Messages of the wire, and who is asked and answered in them."""

"""The row types of the system and the immutable tables that store them."""

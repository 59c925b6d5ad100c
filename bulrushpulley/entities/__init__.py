"""The rows of the system and the immutable tables that hold them."""

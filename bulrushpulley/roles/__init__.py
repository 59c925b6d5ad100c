"""The actors that hold tables, run systems each tick and carry out commands."""

"""Links between processes, HTTP for callers and operators, and the encoding of rows.

These modules encode, decode and transport; the decisions are made in `systems`.
"""

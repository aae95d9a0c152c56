"""Tables of a node: plain rows of data that the systems read and change."""

"""Entities as rows of plain tables; no logic beyond properties."""

"""Decisions on requests under load: endpoint, slot, order, refusal and number."""

"""Adapter to the users' platform; its terms are used only in here."""

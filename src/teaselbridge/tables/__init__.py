"""The operators' tables: routes and pools."""

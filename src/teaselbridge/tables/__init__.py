"""The operators' tables: routes, pools and workspaces."""

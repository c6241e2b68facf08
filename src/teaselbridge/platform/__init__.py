"""Adapter of the deployment platform: its names, formats and calls.

The deployment platform builds and starts the nodes and holds the store. This
package makes no decisions. It converts the platform's names and formats into
the types of the rest of the program; no other package uses them.
"""

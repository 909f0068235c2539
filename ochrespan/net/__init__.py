"""The platform's wire: its front, the chunk-server client and the discovery watch. Decides nothing."""

"""What the fleet's programs show of themselves: figures for collectors and logs."""

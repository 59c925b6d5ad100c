"""Jobs of steps and tasks: rows and messages of their scheduler, front and agents."""

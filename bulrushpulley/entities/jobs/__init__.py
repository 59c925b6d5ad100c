"""Jobs of steps and tasks: tables and messages of scheduler, front end and agents."""

"""Jobs of steps and tasks: tables and messages of scheduler, intake and agents."""

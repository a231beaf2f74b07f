"""Links between processes of the system: frames, greetings, dialling."""

"""Links between processes of the system: frames, handshake and dialling."""

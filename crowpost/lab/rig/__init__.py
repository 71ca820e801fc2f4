"""A rig of real processes on loopback, with relays between them and faults by one seeded timetable."""

"""HTTP/1.1 messages: parsing, bodies and rendering."""

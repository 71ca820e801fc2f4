"""The state that a node writes for its next process: records, the state they make up, and the writer."""

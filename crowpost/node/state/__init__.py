"""The state that a node stores for its next process: records, the state built from them, and the writer."""

"""The size that is coming: hollow processes beside real ones, what duties cost, and troubles at that size."""

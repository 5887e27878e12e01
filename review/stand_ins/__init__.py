"""Stand-ins for clients, slot servers, discovery and the platform; for the cases of the review."""

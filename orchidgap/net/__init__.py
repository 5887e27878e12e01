"""The balancer's network side for any protocol; `node` connects it to the decisions."""

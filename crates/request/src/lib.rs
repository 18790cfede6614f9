//! Request decisions: admission, queues, routing, retries, and at-most-once requests.

"""Error codes of calls about task graphs and queues."""

QUEUES_UNSET = "queues_unset"
QUEUE_UNKNOWN = "queue_unknown"
CREDENTIAL_UNKNOWN = "credential_unknown"
ACCOUNT_MISMATCH = "account_mismatch"
GRAPH_ID_TAKEN = "graph_id_taken"
GRAPH_ID_MALFORMED = "graph_id_malformed"
GRAPH_UNKNOWN = "graph_unknown"
WORKER_UNKNOWN = "worker_unknown"
# Refusals of a job: the first is final, the second gives a time after which to submit it again.
NOT_FEASIBLE = "not_feasible"
NOT_NOW = "not_now"

"""The control address for operators: readiness, metrics, suspension of chunk servers, drains of the front."""

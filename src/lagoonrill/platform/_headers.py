"""Header names of the platform."""

from .._internal.protocol.headers import HeaderNames

READINESS_PATH = "/v1/ready"

VOCABULARY = HeaderNames(
    request_id="Attempt-Id",
    time_limit_ms="Deadline-Ms",
    team="Tenant",
    priority="Request-Priority",
    expected_endpoint="Target-Instance",
    endpoint_id="Instance-Id",
    not_run="Not-Executed",
    proof="Response-Signature",
    request_limit="Server-Limit",
    endpoint_state="Server-Leaving",
    leaving_state="1",
    model="Model",
    token_usage="Token-Usage",
    prompt_parts="Prompt-Prefix",
    output_estimate="Length-Hint",
    copy_prompt_from="Kv-Fetch",
    resume_after="Last-Event-Id",
    resumes="Resumes",
    key_scheme="Token",
    router_only=frozenset(("Expect-Version", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From")),
)

"""Review of a manifest: what its own checks accept, but nobody can mean.

These rules are not part of `parse_manifest`, because a fleet may already run with a
manifest that breaks them.
"""

import msgspec

from .differences import Difference, find_differences
from .manifest import Endpoint, Manifest
from .review import Review
from .settings import Settings

# The first matching route of a service decides.
ORDERED_LISTS = frozenset(("routes",))
SECRET_LISTS = frozenset(("key_digests",))


def review_manifest(manifest: Manifest, settings: Settings | None = None) -> Review:
    """Returns entries without effect and limits that contradict each other.

    Limits of the daemons are compared only if their settings are given.
    """
    review = Review()
    _review_latencies(manifest, review)
    _review_targets(manifest, review)
    if settings is not None:
        _review_deadline(manifest, settings, review)
    return review


def compare_manifests(old: Manifest, new: Manifest) -> list[Difference]:
    """Returns the differences between two manifests by name, without keys."""
    return find_differences(
        msgspec.to_builtins(old),
        msgspec.to_builtins(new),
        secrets=SECRET_LISTS,
        ordered=ORDERED_LISTS,
    )


def _review_latencies(manifest: Manifest, review: Review) -> None:
    for index, request_class in enumerate(manifest.classes):
        latency = request_class.latency
        gap_ms, first_ms = latency.token_gap_ms, latency.first_token_ms
        if gap_ms and first_ms and gap_ms > first_ms:
            review.add_error(
                f"classes[{index}].latency.token_gap_ms",
                f"{gap_ms}, above first_token_ms ({first_ms})",
                "Make token_gap_ms at most first_token_ms",
            )


def _review_deadline(manifest: Manifest, settings: Settings, review: Review) -> None:
    limit_ms = settings.callers.default_deadline_s * 1000
    for index, request_class in enumerate(manifest.classes):
        for name in ("first_token_ms", "whole_answer_ms"):
            target_ms = getattr(request_class.latency, name)
            if target_ms and target_ms > limit_ms:
                review.add_error(
                    f"classes[{index}].latency.{name}",
                    f"{target_ms}, above callers.default_deadline_s of the settings "
                    f"({limit_ms:.0f} ms)",
                    "Lower the target or raise the default deadline",
                )


def _review_targets(manifest: Manifest, review: Review) -> None:
    for field in ("models", "services"):
        for index, item in enumerate(getattr(manifest, field)):
            serving = [
                endpoint
                for endpoint in manifest.endpoints
                if item.name in endpoint.models or item.name == endpoint.service
            ]
            _review_serving(f"{field}[{index}]", item.name, serving, review)


def _review_serving(
    key: str, name: str, serving: list[Endpoint], review: Review
) -> None:
    if all(endpoint.drain for endpoint in serving):
        only = "only draining endpoints serve" if serving else "no endpoint serves"
        review.add_warning(
            key,
            f"{only} {name!r}, so its requests are refused",
            "Add an endpoint for it or remove the entry",
        )

"""Finds the contract of a request and checks whether it covers the request. Budgets are not checked here."""

from __future__ import annotations

from .grants import AdmissionRequest, NotCovered
from .terms import Contract, ContractRegistry, token_digest


def identify(registry: ContractRegistry, request: AdmissionRequest) -> Contract | NotCovered:
    """Finds the contract of a request. The answer to an unknown token does not depend on whether the volume has an
    owner."""
    owner = registry.by_volume.get(request.volume) if request.volume else None
    if request.bucket:
        owner = registry.by_bucket.get(request.bucket)
        if owner is None:
            return NotCovered("bucket", reason="no contract names this bucket")
    contract = _contract_for_token(registry, request.token, owner)
    if isinstance(contract, NotCovered):
        return contract
    owns = owner is not None and (contract.path == owner or contract.path.startswith(owner + "/"))
    if not owns and (owner is not None or contract.volumes):
        what = "bucket" if request.bucket else "volume"
        return NotCovered(what, contract.path, f"this {what} is not the contract's own")
    return contract


def _contract_for_token(registry: ContractRegistry, token: str, owner: str | None) -> Contract | NotCovered:
    """The token's contract; without a token, the owner's contract if that has no tokens."""
    if token:
        return registry.by_token.get(token_digest(token)) or NotCovered("token", reason="no contract has this token")
    if owner is None:
        return NotCovered("contract", reason="no token, and no contract owns this volume")
    contract = registry.contracts.get(owner)
    if contract is None or contract.tokens:
        return NotCovered("token", reason="this needs its contract's token")
    return contract


def check_coverage(contract: Contract, request: AdmissionRequest, now: float) -> NotCovered | None:
    """Returns why the contract does not cover the request at `now` (Unix time in seconds), or None if it does."""
    if contract.withdrawn:
        return NotCovered("withdrawn", contract.path, "the contract was withdrawn")
    if now < contract.begins:
        return NotCovered("not-begun", contract.path, "the contract has not begun")
    if now >= contract.ends:
        return NotCovered("ended", contract.path, "the contract has ended")
    if request.plan and request.plan != contract.plan:
        return NotCovered("plan", contract.path, f"the contract's plan is {contract.plan}")
    if request.cls in contract.withdrawn_classes:
        return NotCovered("class", contract.path, f"class {request.cls} was withdrawn from the contract")
    if request.cls not in contract.classes:
        return NotCovered("class", contract.path, f"the contract does not cover class {request.cls}")
    return None

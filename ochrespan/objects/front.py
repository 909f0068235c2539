"""HTTP handler of the object API: routes requests, maps results to responses and streams bodies."""

from __future__ import annotations

import asyncio
import logging
from contextlib import aclosing

from ..contracts.gate import ContractGate
from ..contracts.terms import Contract
from ..exchange import Exchange, Reply
from ..lifecycle import Lifecycle
from ..logs import bind
from . import conditions, layout, xml
from .call import Call, expected_md5
from .conditions import ConditionResult
from .errors import XML_TYPE, ApiError, api_error, denied, invalid_argument, no_key, not_implemented
from .layout import Manifest, Part
from .section import ObjectsConfig
from .store import ChunkStore, DeadlineExceeded, StorageFailed, Unavailable
from .uploads import Uploads

log = logging.getLogger(__name__)

UNSUPPORTED_SUBRESOURCES = frozenset({"acl", "tagging"})  # query parameters of S3 operations that are not supported


class ObjectFront:
    """Routes requests to the store and the uploads, and builds the responses."""

    def __init__(
        self, objects: ObjectsConfig, gate: ContractGate, store: ChunkStore, uploads: Uploads, lifecycle: Lifecycle
    ) -> None:
        self._objects, self._gate, self._store, self._uploads = objects, gate, store, uploads
        self._lifecycle = lifecycle

    async def handle(self, request: Exchange) -> Reply | None:
        """Returns the response, or None if it was streamed. A read that fails after its headers were sent is aborted,
        so that the client detects the truncation."""
        bind()
        with self._lifecycle.track_request():
            try:
                call = Call(request, self._objects, self._gate)
                self._check_covered(call)
                reply = await self._route(call)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                reply = api_error(error).reply(request)
            if reply is not None:  # the rest of a rejected request body is not read
                reply.close = self._lifecycle.closing or not request.body_ended
            return reply

    def _check_covered(self, call: Call) -> None:
        """Checks the contract before the first chunk request. A request that was accepted may complete even if the
        contract changes meanwhile."""
        contract = call.scope.contract
        reads = call.request.method in ("GET", "HEAD")
        for cls in {contract.read} if reads else {contract.read, contract.write}:
            self._require_class(contract, cls)

    def _require_class(self, contract: Contract, cls: str) -> None:
        if (refusal := self._gate.covers(contract, cls)) is not None:
            raise denied(f"{refusal.rule}: {refusal.message}")

    async def _route(self, call: Call) -> Reply | None:
        query = call.query
        match call.request.method:
            case "GET" if "uploadId" in query:
                return await self._list_parts(call)
            case "GET" | "HEAD" if not (UNSUPPORTED_SUBRESOURCES | {"uploads"}) & set(query):
                return await self._get_object(call)
            case "PUT" if "uploadId" in query:
                return await self._put_part(call)
            case "PUT" if not UNSUPPORTED_SUBRESOURCES & set(query):
                return await self._put_object(call)
            case "POST" if "uploads" in query:
                return await self._create_upload(call)
            case "POST" if "uploadId" in query:
                return await self._complete_upload(call)
            case "DELETE" if "uploadId" in query:
                await self._uploads.abort(call.scope, query["uploadId"])
                return Reply(204)
            case "DELETE" if "tagging" not in query:
                await self._store.commit(call.scope, Manifest("", layout.now(), [], deleted=True))
                return Reply(204)
        raise not_implemented("This call is not served.")

    # ---- reads ----

    async def _get_object(self, call: Call) -> Reply | None:
        manifest = await self._store.read_manifest(call.scope)
        if manifest is None:
            raise no_key()
        headers = call.request.headers
        match conditions.evaluate(headers, manifest.etag, manifest.modified):
            case ConditionResult.FAILED:
                raise ApiError(412, "PreconditionFailed", "A precondition you specified did not hold.")
            case ConditionResult.NOT_MODIFIED:
                return Reply(304, headers=self._object_headers(manifest))
        size, span = manifest.size, self._requested_range(call, manifest)
        begin, end = span or (0, size)
        headers = self._object_headers(manifest) | {"Content-Type": manifest.content_type}
        if span:
            headers["Content-Range"] = f"bytes {begin}-{end - 1}/{size}"
        if call.request.method == "HEAD":
            await call.request.start(206 if span else 200, headers, end - begin, self._lifecycle.closing)
            await call.request.finish()
            return None
        await self._stream(call, manifest, begin, end, headers)
        return None

    @staticmethod
    def _requested_range(call: Call, manifest: Manifest) -> tuple[int, int] | None:
        """Begin and exclusive end of the requested bytes; None: the complete object."""
        headers = call.request.headers
        if not conditions.range_applies(headers, manifest.etag, manifest.modified):
            return None
        try:
            return conditions.parse_range(headers.get("Range"), manifest.size)
        except conditions.RangeNotSatisfiable:
            raise ApiError(
                416,
                "InvalidRange",
                "The requested range is not satisfiable.",
                {"Content-Range": f"bytes */{manifest.size}"},
            ) from None

    @staticmethod
    def _object_headers(manifest: Manifest) -> dict[str, str]:
        return manifest.meta | {
            "ETag": f'"{manifest.etag}"',
            "Last-Modified": conditions.format_http_date(manifest.modified),
            "Accept-Ranges": "bytes",
        }

    async def _stream(self, call: Call, manifest: Manifest, begin: int, end: int, headers: dict[str, str]) -> None:
        status = 206 if "Content-Range" in headers else 200
        contract = call.scope.contract
        cls = contract.export if end - begin >= self._objects.export_threshold_bytes else contract.read
        self._require_class(contract, cls)
        slices = list(manifest.slices(begin, end))
        async with aclosing(self._store.load(call.scope, cls, slices)) as load:
            # headers are sent once the first chunk has arrived, so that a refusal before it still gets an error status
            first = await anext(load, b"")
            await call.request.start(status, headers, end - begin, self._lifecycle.closing)
            try:
                if first:
                    await call.request.write(first)
                async for payload in load:
                    await call.request.write(payload)
            except (Unavailable, StorageFailed, DeadlineExceeded, layout.CorruptChunk) as error:
                log.warning(
                    "object read aborted after the response headers", extra={"key": call.scope.key, "why": repr(error)}
                )
                call.request.abort()
                raise ConnectionResetError("object read failed after the response headers were sent") from error
            await call.request.finish()

    # ---- writes ----

    async def _store_body(self, call: Call, number: int) -> Part:
        headers = call.request.headers
        if headers.get("x-amz-content-sha256", "").startswith("STREAMING-") or "x-amz-copy-source" in headers:
            raise not_implemented("Signed chunks and copies are not served.")
        if {"If-Match", "If-None-Match"} & set(headers):
            # front processes share no state, so they cannot agree on the order of two writes
            raise not_implemented("Conditional writes are not served.")
        expected_digest = expected_md5(headers)
        if headers.get("Expect", "").lower() == "100-continue":
            await call.request.send_continue()
        async with aclosing(call.body()) as body:
            part = await self._store.store(call.scope, body, number)
        if expected_digest is not None and expected_digest != part.md5:
            raise ApiError(400, "BadDigest", "The Content-MD5 you specified did not match what we received.")
        return part

    async def _put_object(self, call: Call) -> Reply:
        content_type, meta = call.object_metadata()
        part = await self._store_body(call, 1)
        manifest = Manifest(part.md5, layout.now(), [part], content_type, meta)
        await self._store.commit(call.scope, manifest)
        return Reply(200, headers={"ETag": f'"{part.md5}"'})

    async def _put_part(self, call: Call) -> Reply:
        number, upload = call.part_number(), call.query["uploadId"]
        await self._uploads.find(call.scope, upload)
        part = await self._store_body(call, number)
        await self._uploads.put_part(call.scope, upload, part)
        return Reply(200, headers={"ETag": f'"{part.md5}"'})

    # ---- uploads ----

    async def _create_upload(self, call: Call) -> Reply:
        upload = await self._uploads.create(call.scope, *call.object_metadata())
        return self._result(
            "InitiateMultipartUploadResult",
            [("Bucket", call.scope.bucket), ("Key", call.scope.key), ("UploadId", upload)],
        )

    async def _complete_upload(self, call: Call) -> Reply:
        parts = xml.read_parts(await call.document())
        manifest = await self._uploads.complete(call.scope, call.query["uploadId"], parts)
        return self._result(
            "CompleteMultipartUploadResult",
            [
                ("Location", call.resource),
                ("Bucket", call.scope.bucket),
                ("Key", call.scope.key),
                ("ETag", f'"{manifest.etag}"'),
            ],
        )

    async def _list_parts(self, call: Call) -> Reply:
        upload, query = call.query["uploadId"], call.query
        limit, after = query.get("max-parts", str(layout.MAX_PARTS)), query.get("part-number-marker", "0")
        if not (limit.isdecimal() and after.isdecimal()):
            raise invalid_argument("max-parts and part-number-marker must be numbers.")
        await self._uploads.find(call.scope, upload)
        parts = await self._uploads.parts(call.scope, upload)
        later = [part for part in parts.values() if part.number > int(after)]
        shown = later[: int(limit)]
        truncated = "true" if len(shown) < len(later) else "false"
        children: list[xml.Child] = [
            ("Bucket", call.scope.bucket),
            ("Key", call.scope.key),
            ("UploadId", upload),
            ("PartNumberMarker", after),
            ("MaxParts", limit),
            ("IsTruncated", truncated),
        ]
        if shown:
            children.append(("NextPartNumberMarker", str(shown[-1].number)))
        children += [("Part", _part_fields(part)) for part in shown]
        return self._result("ListPartsResult", children)

    @staticmethod
    def _result(root: str, children: list[xml.Child]) -> Reply:
        return Reply(200, xml.render(root, children), {"Content-Type": XML_TYPE})


def _part_fields(part: Part) -> list[xml.Child]:
    return [("PartNumber", str(part.number)), ("ETag", f'"{part.md5}"'), ("Size", str(part.size))]

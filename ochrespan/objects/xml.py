"""Renders and parses the XML documents of the S3 API."""

from __future__ import annotations

from xml.etree import ElementTree

from defusedxml import ElementTree as SafeTree
from defusedxml.common import DefusedXmlException

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"

Child = tuple[str, "str | list[Child]"]


class MalformedXml(ValueError):
    """A request document that is not well-formed or lacks required elements."""


def render(root: str, children: list[Child], namespace: str = NAMESPACE) -> bytes:
    """Renders a document. Each child is a name with either text or a list of children."""

    def fill(element: ElementTree.Element, entries: list[Child]) -> None:
        for name, value in entries:
            child = ElementTree.SubElement(element, name)
            if isinstance(value, str):
                child.text = value
            else:
                fill(child, value)

    top = ElementTree.Element(root, {"xmlns": namespace} if namespace else {})
    fill(top, children)
    return ElementTree.tostring(top, encoding="utf-8", xml_declaration=True)


def read_parts(body: bytes) -> list[tuple[int, str]]:
    """Parses the part list of a CompleteMultipartUpload request into pairs of number and ETag."""
    try:
        root = SafeTree.fromstring(body, forbid_dtd=True)
    except (ElementTree.ParseError, DefusedXmlException, ValueError) as error:
        raise MalformedXml("the body is not well-formed") from error
    part_list = []
    for part in root.iter():
        if part.tag.rpartition("}")[2] != "Part":
            continue
        fields = {child.tag.rpartition("}")[2]: (child.text or "").strip() for child in part}
        if not fields.get("PartNumber", "").isdecimal() or not fields.get("ETag"):
            raise MalformedXml("a part needs PartNumber and ETag")
        part_list.append((int(fields["PartNumber"]), fields["ETag"]))
    return part_list

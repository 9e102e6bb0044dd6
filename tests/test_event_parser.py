"""What is an event of a stream, and which events may follow each other."""

import unittest

from cranberryrun.fleet.client import MalformedStreamError
from cranberryrun.platform.event_parser import EventParser

SOUND_BLOCKS = {
    "usual": b"id: 3\ndata: a\n\n",
    "without blanks": b"id:3\ndata:a\n\n",
    "data first": b"data: a\nid: 3\n\n",
    "CR LF": b"id: 3\r\ndata: a\r\n\r\n",
    "comment line": b": note\nid: 3\ndata: a\n\n",
    "comment block": b": note\n\nid: 3\ndata: a\n\n",
    "comment blocks with CR LF": b":\r\n\r\n: note\r\n\r\nid: 3\r\ndata: a\r\n\r\n",
    "blank lines": b"\n\n\nid: 3\ndata: a\n\n\n",
    "event type": b"event: token\nid: 3\ndata: a\n\n",
    "retry block": b"retry: 1000\n\nid: 3\ndata: a\n\n",
    "further field": b"id: 3\ntokens: 2\ndata: a\n\n",
    "version": b"x-cranberryrun-weight-versions: 7\nid: 3\ndata: a\n\n",
    "leading zeros": b"id: 003\ndata: a\n\n",
}
MALFORMED_BLOCKS = {
    "no line of an event": b"?\n\n",
    "random bytes": b"\xf3\x00\x91:\x07\n\n",
    "no number": b"data: a\n\n",
    "no data": b"id: 3\n\n",
    "empty number": b"id:\ndata: a\n\n",
    "number without colon": b"id\ndata: a\n\n",
    "number with sign": b"id: +3\ndata: a\n\n",
    "negative number": b"id: -3\ndata: a\n\n",
    "number with underscore": b"id: 1_0\ndata: a\n\n",
    "number with blank": b"id:  3\ndata: a\n\n",
    "number with blank after it": b"id: 3 \ndata: a\n\n",
    "number with fraction": b"id: 3.0\ndata: a\n\n",
    "number outside ASCII": "id: ٣\ndata: a\n\n".encode(),
    "number of 19 digits": b"id: 1000000000000000000\ndata: a\n\n",
    "number in hexadecimal": b"id: 0x3\ndata: a\n\n",
    "two numbers": b"id: 3\nid: 4\ndata: a\n\n",
    "the same number twice": b"id: 3\nid: 3\ndata: a\n\n",
    "number in capitals": b"ID: 3\ndata: a\n\n",
    "version that is no number": b"x-cranberryrun-weight-versions: v\nid: 3\ndata:\n\n",
    "two versions": b"x-cranberryrun-weight-versions: 1\n" * 2 + b"id: 3\ndata: a\n\n",
    "line without colon": b"id: 3\nmore\ndata: a\n\n",
    "field name with a blank": b"id: 3\nmo re: 1\ndata: a\n\n",
    "field name outside ASCII": b"id: 3\n\xc3\xa4: 1\ndata: a\n\n",
    "data that is not UTF-8": b"id: 3\ndata: \xff\n\n",
    "ends of lines differ": b"id: 3\ndata: a\r\n\r\n",
    "answer of HTTP": b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
}


def split(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


def parse(data, size=None, last_number=2):
    parser = EventParser(last_number)
    events = []
    for chunk in split(data, size or len(data)):
        events += parser.feed(chunk)
    return events


class SoundBlockTest(unittest.TestCase):
    def test_event_is_the_same_however_its_bytes_arrive(self):
        for name, block in SOUND_BLOCKS.items():
            for size in (1, 2, 3, 7, None):
                with self.subTest(name=name, size=size):
                    (event,) = parse(block, size)
                    self.assertEqual((event.number, event.data), (3, "a"))

    def test_all_bytes_are_passed_on(self):
        for name, block in SOUND_BLOCKS.items():
            with self.subTest(name=name):
                parser = EventParser(2)
                (event,) = parser.feed(block)
                self.assertEqual(event.raw + parser.skipped, block)

    def test_text_is_kept_as_it_is(self):
        for line, text in (
            (b"data:", ""),
            (b"data", ""),
            (b"data: ", ""),
            (b"data:  x", " x"),
            (b"data: x\r", "x\r"),
            (b"data: id: 9", "id: 9"),
            (b"data: a\ndata: b", "a\nb"),
            (b"data: a\ndata:", "a\n"),
            ("data: \N{DROPLET}".encode(), "\N{DROPLET}"),
        ):
            with self.subTest(line=line):
                (event,) = parse(b"id: 3\n" + line + b"\n\n")
                self.assertEqual(event.data, text)

    def test_version_is_that_of_its_event(self):
        first = b"x-cranberryrun-weight-versions: 7\nid: 3\ndata: a\n\n"
        events = parse(first + b"id: 4\ndata: b\n\n")
        self.assertEqual([event.version for event in events], [7, None])

    def test_comment_after_the_last_event_leaves_the_stream_complete(self):
        for rest in (b"", b"\n", b"\n\n", b": bye\n\n", b": bye\n", b":\r\n"):
            with self.subTest(rest=rest):
                parser = EventParser()
                self.assertEqual(len(parser.feed(b"id: 1\ndata: a\n\n" + rest)), 1)
                self.assertFalse(parser.has_partial_event)
                self.assertEqual(parser.skipped, rest)

    def test_event_without_its_blank_line_is_incomplete(self):
        for rest in (b"id: 2", b"id: 2\ndata: a", b"id: 2\ndata: a\n", b"?", b": by"):
            with self.subTest(rest=rest):
                parser = EventParser()
                parser.feed(b"id: 1\ndata: a\n\n" + rest)
                self.assertTrue(parser.has_partial_event)


class MalformedBlockTest(unittest.TestCase):
    """A block that is no event was counted as the next one, with an empty text."""

    def test_block_is_refused_however_its_bytes_arrive(self):
        for name, block in MALFORMED_BLOCKS.items():
            for size in (1, 5, None):
                with self.subTest(name=name, size=size):
                    with self.assertRaises(MalformedStreamError):
                        parse(block, size)

    def test_block_is_refused_after_events(self):
        for name, block in MALFORMED_BLOCKS.items():
            with self.subTest(name=name):
                with self.assertRaises(MalformedStreamError):
                    parse(b"id: 1\ndata: a\n\n" + block, None, 0)

    def test_comments_without_end_are_refused(self):
        for block in (
            b":\n\n",
            b"\n\n",
            b"retry: 1\n\n",
            b": " + b"x" * 9000 + b"\n\n",
        ):
            with self.subTest(block=block[:12]):
                with self.assertRaises(MalformedStreamError):
                    parse(block * 2000)

    def test_comments_between_events_are_not_added_up(self):
        events = b"".join(
            b":\n\n" * 100 + b"id: %d\ndata: a\n\n" % number for number in range(3, 40)
        )
        self.assertEqual(len(parse(events)), 37)


class OrderTest(unittest.TestCase):
    def test_number_that_does_not_increase_is_refused(self):
        for last, numbers in ((None, (1, 1)), (None, (5, 4)), (3, (3,)), (3, (1,))):
            with self.subTest(last=last, numbers=numbers):
                events = b"".join(b"id: %d\ndata: a\n\n" % each for each in numbers)
                with self.assertRaises(MalformedStreamError):
                    parse(events, None, last)

    def test_first_number_may_be_zero(self):
        (event,) = parse(b"id: 0\ndata: a\n\n", None, None)
        self.assertEqual(event.number, 0)

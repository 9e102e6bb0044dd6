import unittest

from cranberryrun.body_buffer import BodyBuffer


class BodyBufferTest(unittest.TestCase):
    """Guards against bytes that are lost where a body moves to another memory."""

    def check(self, chunks):
        body = BodyBuffer()
        for chunk in chunks:
            body.append(chunk)
        expected = b"".join(chunks)
        self.assertEqual(len(body), len(expected))
        self.assertTrue(bytes(body.contents()) == expected)

    def test_empty_body(self):
        self.check([])

    def test_small_body_is_not_copied(self):
        chunk = b"x" * 1000
        body = BodyBuffer()
        body.append(chunk)
        self.assertIs(body.contents(), chunk)

    def test_body_in_small_pieces(self):
        self.check([bytes([number % 251]) * 7 for number in range(1000)])

    def test_body_that_grows_large(self):
        self.check([bytes([number % 251]) * 65_536 for number in range(40)])

    def test_large_body_at_once(self):
        self.check([b"x" * 3_000_000, b"y", b"z" * 1_048_575])

"""What the platform's records and headers say of prompts and of engines' memory."""

import json
import unittest

from cranberryrun.batches.records import Accepted, Decoder, encode
from cranberryrun.platform.batch_wire import decode_batch, decoding_bytes
from cranberryrun.platform.wire import WireDecoder
from fakes.deployment import batch, batch_route


class PromptTest(unittest.TestCase):
    def item(self, **headers):
        items = [{"id": "i1", "path": "/batch/1", "headers": headers, "tokens": 900}]
        body = json.dumps({"model": "m", "items": items}).encode()
        return decode_batch("b1", batch_route(), body).items[0]

    def test_prompt_is_read_from_the_headers_of_an_item(self):
        item = self.item(
            **{
                "X-Cranberryrun-Token-Usage": "812, 1024",
                "X-Cranberryrun-Prefix-Hash": "sys:1a:300,task:500",
            }
        )
        self.assertEqual((item.prompt_tokens, item.max_output_tokens), (812.0, 1024.0))
        self.assertEqual(item.prompt_parts, (("sys:1a", 300.0), ("task", 500.0)))

    def test_item_is_accepted_when_its_headers_are_missing_or_malformed(self):
        """A header that only helps to schedule must not cost the trainer a batch."""
        for usage, prefix in (("", ""), ("x, 1", "a"), ("9" * 400 + ",1", ":,;: 5")):
            with self.subTest(usage=usage[:8]):
                item = self.item(
                    **{
                        "X-Cranberryrun-Token-Usage": usage,
                        "X-Cranberryrun-Prefix-Hash": prefix,
                    }
                )
                self.assertEqual(item.prompt_tokens, 0.0)
                self.assertIsNone(item.max_output_tokens)
                self.assertEqual(item.prompt_parts, ())

    def test_record_of_the_previous_build_is_read(self):
        (record,) = encode(Accepted(batch(groups=1, size=1)), 262_144)
        old = json.loads(record[1:])
        for name in ("prompt_tokens", "max_output_tokens", "prompt_parts"):
            del old["batch"]["items"][0][name]
        message = Decoder().decode(b"w" + json.dumps(old).encode())
        self.assertEqual(message.batch.items[0].prompt_tokens, 0.0)


class ManifestTest(unittest.TestCase):
    def test_memory_of_engines_is_read_where_the_manifest_states_it(self):
        services = [
            {"name": "a", "engine": {"kv-capacity": 31371, "stride": 8, "models": []}},
            {"name": "b", "engine": {"stride": 8, "models": []}},
            {"name": "c", "engine": {"kv-capacity": -1, "models": []}},
        ]
        value = json.dumps({"version": 1, "routes": [], "services": services}).encode()
        manifest = WireDecoder().manifest("config", value)
        self.assertEqual(manifest.memory_tokens_by_service, {"a": 31371.0})
        self.assertEqual(manifest.tokens_per_event_by_service["a"], 8.0)


class DecodingTest(unittest.TestCase):
    """Guards against a process that ends while it decodes a batch of legal size."""

    def test_small_objects_take_many_times_their_text(self):
        body = b"[" + b"{}," * 1000 + b"{}]"
        self.assertGreater(decoding_bytes(body), 40 * len(body))

    def test_texts_take_little_more_than_their_bytes(self):
        body = json.dumps({"items": [{"id": "i", "body": "x" * 100_000}]}).encode()
        self.assertLess(decoding_bytes(body), 2 * len(body))

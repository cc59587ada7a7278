"""Callers of the demo: each sends one request and checks the response."""

import hashlib
import http.client
import json
import time
from dataclasses import dataclass

BYTES_PER_TOKEN = 5
REQUEST_TIMEOUT_S = 60


@dataclass
class Outcome:
    """Result of one request."""

    sent: str
    through: str
    status: int
    first_byte_ms: float
    total_ms: float
    fault: str = ""

    def row(self):
        return [self.sent, self.through, str(self.status),
                "%.0f" % self.first_byte_ms, "%.0f" % self.total_ms,
                self.fault or "complete, correct"]


def make_prompt(tokens, seed):
    """Prompts begin with the seed, so that they share no cached prefix."""
    return ("prompt %s " % seed).ljust(tokens * BYTES_PER_TOKEN, "x")


def expected_text(prompt, max_tokens):
    """Returns the completion that the engine stand-in gives for a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:16]
    return "".join("t%s-%d " % (digest, n) for n in range(max_tokens))


def send(address, method, path, token, body=None, headers=None):
    """Returns the status, the body, and the seconds to the body's first byte
    and to its end."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port),
                                            timeout=REQUEST_TIMEOUT_S)
    start = time.monotonic()
    try:
        connection.request(
            method, path, body=None if body is None else json.dumps(body),
            headers=dict(headers or {}, Authorization="Bearer " + token))
        response = connection.getresponse()
        text = response.read(1)
        first = time.monotonic() - start
        text += response.read()
        return response.status, text, first, time.monotonic() - start
    except (OSError, http.client.HTTPException) as error:
        spent = time.monotonic() - start
        return 0, repr(error).encode(), spent, spent
    finally:
        connection.close()


def text_of_stream(body):
    """Returns the text of the events; None if [DONE] is missing."""
    text, complete = "", False
    for line in body.split("\n"):
        if line == "data: [DONE]":
            complete = True
        elif line.startswith("data: "):
            event = json.loads(line[len("data: "):])
            if "choices" not in event:
                return None
            text += event["choices"][0]["text"]
    return text if complete else None


def text_of_completion(status, body, stream):
    """Returns the text of a completion; None if it is incomplete."""
    if status != 200:
        return None
    try:
        text = body.decode()
        if stream:
            return text_of_stream(text)
        return json.loads(text)["choices"][0]["text"]
    except (ValueError, KeyError, IndexError, TypeError):
        return None


def complete(node, service, model, token, tokens, seed, stream,
             max_tokens=16):
    """Sends a prompt of that many tokens and checks the completion."""
    prompt = make_prompt(tokens, seed)
    status, body, first, total = send(
        node.address, "POST", "/services/%s/v1/completions" % service, token,
        {"model": model, "prompt": prompt, "max_tokens": max_tokens,
         "stream": stream}, {"Content-Type": "application/json"})
    got = text_of_completion(status, body, stream)
    fault = ""
    if got is None:
        fault = "incomplete: " + body[-160:].decode(errors="replace")
    elif got != expected_text(prompt, max_tokens):
        fault = "wrong text"
    return Outcome(
        "%s, %d tokens, %s" % (service, tokens,
                               "streamed" if stream else "not streamed"),
        node.name, status, first * 1000, total * 1000, fault)


def run_action(node, service, route, token, key, body):
    """Sends a non-idempotent request; returns its outcome and the response
    body."""
    status, response, first, total = send(
        node.address, route["method"],
        "/services/%s/call%s" % (service, route["path"]), token, body,
        {"Content-Type": "application/json", "Idempotency-Key": key})
    fault = "" if status == 200 else response.decode(errors="replace")
    return Outcome("%s%s, key %s" % (service, route["path"], key), node.name,
                   status, first * 1000, total * 1000, fault), response

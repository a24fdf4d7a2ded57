"""What callers sent and got and what servers ran, and the promises that must hold between them."""

import hashlib
import time

from site_model import CONFIG_APPLY_S, CONTACT_S, DRAIN_S, LEASE_S
from stand_ins import event_count, signature

# A refusal promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Clocks of the stand-ins, the proxies and the checks are the same; this is for their event loop.
SLACK_S = 0.25
# A connection that is closed this soon after a request may have been closing already.
CROSSING_S = 0.2
# The users' rule speaks of more than three such requests.
MAX_LOST = 3


class Run:
    def __init__(self, server, begin):
        self.server, self.begin, self.end, self.is_whole = server, begin, None, False


class Sent:
    def __init__(self, request_id, gateway, method, target, kind, body):
        self.id, self.gateway, self.method, self.target, self.kind, self.body = \
            request_id, gateway, method, target, kind, body
        self.begin = time.monotonic()
        self.end = None
        self.answer = None
        self.arrivals = []
        self.runs = []
        self.left_by_client = False


class Record:
    def __init__(self):
        self.sent = {}
        self.breaches = []
        self.orders = {}
        self.late_arrivals = []

    def breach(self, rule, text):
        self.breaches.append((rule, text))

    def arrival(self, server, request, now):
        request_id = request.headers.get("request-id", "")
        sent = self.sent.get(request_id)
        if sent is None:
            self.breach("UNASKED", f"{server.name} got {request_id!r}, which nobody sent")
            return
        if (request.method, request.target, request.body) != (sent.method, sent.target, sent.body):
            self.breach("UNASKED", f"{request_id} was changed on its way to {server.name}")
        sent.arrivals.append((server, now))
        if server.left_at is not None and now - server.left_at > DRAIN_S + SLACK_S:
            self.late_arrivals.append((sent, server, server.left_at, now))

    def run_begins(self, server, request, now):
        run = Run(server, now)
        sent = self.sent.get(request.headers.get("request-id", ""))
        if sent is not None:
            sent.runs.append(run)
            if sent.kind == "once" and len(sent.runs) > 1:
                self.breach("TWICE", f"{sent.id} ran {len(sent.runs)} times")
        return run

    def order(self, server, order, now):
        key = (server.name, server.instance)
        last = self.orders.get(key)
        if last and last[0] != order["holder"]:
            if now - last[2] < LEASE_S:
                self.breach("ONE", f"{key}: {last[0]} and {order['holder']} take turns")
            if order["fence"] <= last[1]:
                self.breach("ONE", f"{key}: token {order['fence']} after {last[1]}")
        self.orders[key] = (order["holder"], order["fence"], now)

    def check_answer(self, sent):
        """MIXED and ORDER: a success is whole, signed and the server's; a part never looks whole."""
        answer = sent.answer
        if answer.status == 0 or not 200 <= answer.status < 300:
            if "response-seal" in answer.headers and not sent.runs:
                self.breach("MIXED", f"{sent.id}: a failure is signed, and no server ran it")
            return
        if answer.headers.get("request-id") != sent.id:
            self.breach("MIXED", f"{sent.id} got the answer of {answer.headers.get('request-id')}")
        seal = answer.headers.get("response-seal")
        if sent.kind == "stream":
            expected = b"".join(f"id: {n}\ndata: {sent.id}.{n}\n\n".encode()
                                for n in range(1, event_count(sent.id) + 1))
            if answer.is_whole and answer.body != expected:
                self.breach("ORDER", f"{sent.id}: a whole stream with wrong events")
            if not expected.startswith(answer.body):
                self.breach("ORDER", f"{sent.id}: events are missing, double or of another stream")
        elif answer.is_whole:
            digest = hashlib.sha1(sent.body).hexdigest().encode()
            if seal != signature(answer.body) or digest not in answer.body or \
                    not answer.body.startswith(sent.id.encode()):
                self.breach("MIXED", f"{sent.id}: success without the server's whole body")

    def check_end(self, site, recovered_from):
        for sent, server, left_at, now in self.late_arrivals:
            if sent.gateway.in_touch(left_at, now) and not touched(server, now):
                self.breach("DRAIN", f"{sent.id} reached {server.name} {now - left_at:.2f} s after "
                            "it left")
        lost = []
        for sent in self.sent.values():
            if sent.answer is None:
                continue
            if sent.kind == "once" and sent.answer.status in PROMISES and sent.runs:
                self.breach("REFUSED", f"{sent.id} got {sent.answer.status} and ran")
            if len({run.server.instance for run in sent.runs}) > 2:
                self.breach("BUDGET", f"{sent.id} ran on {len(sent.runs)} servers")
            if self._is_lost(sent):
                lost.append(sent)
        if len(lost) > MAX_LOST:
            for sent in lost:
                self.breach("LOST", f"{sent.id} ({sent.kind}) at {sent.gateway.name}, sent to "
                            f"{[s.name for s, _ in sent.arrivals]}, status {sent.answer.status}, "
                            f"{sent.end - sent.begin:.2f} s")
        self._check_configs(site)
        last = [s for s in self.sent.values() if s.answer is not None and s.begin >= recovered_from
                and not s.left_by_client and s.kind in ("stream", "once", "read")]
        served = sum(1 for s in last if s.answer.is_whole and s.answer.status == 200)
        if not last or served < 0.9 * len(last):
            self.breach("RECOVER", f"{served} of {len(last)} served after all faults were over")

    def _is_lost(self, sent):
        if sent.left_by_client or sent.answer.is_whole:
            return False
        if any(touched(server, sent.end) for server, _ in sent.arrivals):
            return False
        if not sent.gateway.in_touch(sent.begin, sent.end):
            return False
        return bool(sent.arrivals) or sent.end - sent.begin > CROSSING_S

    def _check_configs(self, site):
        for sent in self.sent.values():
            if sent.kind != "probe" or sent.answer is None or not sent.answer.is_whole:
                continue
            prefix = "/" + sent.target.split("/")[1] + "/"
            if not sent.gateway.in_touch(sent.begin - CONFIG_APPLY_S, sent.end):
                continue
            in_force = [allowed for acknowledged, allowed in site.configs if acknowledged <= sent.end]
            settled = [i for i, (acknowledged, _) in enumerate(site.configs)
                       if acknowledged <= sent.begin - CONFIG_APPLY_S - SLACK_S]
            candidates = in_force[settled[-1] if settled else 0:]
            if sent.answer.status == 404 and all(prefix in allowed for allowed in candidates):
                self.breach("CONFIG", f"{sent.id}: 404 for a route of all versions in force")
            if sent.answer.status == 200 and not any(prefix in allowed for allowed in candidates):
                self.breach("CONFIG", f"{sent.id}: served on a route that was removed")


def touched(server, now):
    """A fault touched the server or its link shortly before."""
    return any(b < now and e > now - CONTACT_S - 4 for b, e in server.faults)

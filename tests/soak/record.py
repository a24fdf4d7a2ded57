"""Records requests, answers and runs on servers, and checks the rules that they must satisfy."""

import hashlib
import time

from site_model import (CONFIG_APPLY_S, DISCONNECTED_AFTER_S, DRAIN_S, LEASE_S, LONG_PREFIX,
                        LONG_TIMEOUT_S, ROUTE_TIMEOUT_S, STOP_GRACE_S)
from stand_ins import event_count, signature

# Statuses of refusals: the request has not run and will not run later.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Tolerance for delays of the event loop. Stand-ins, proxies and checks share one clock.
SLACK_S = 0.25
# A connection that closes this soon after a request was sent may have been closing before the
# gateway received the request.
CLOSE_RACE_S = 0.2
# LOST is reported only for more than three lost requests, as the users' rule states.
MAX_LOST = 3
# A request may reach a server for this time after its caller left; MAX_GONE may do so later.
GONE_S, MAX_GONE = 0.5, 3
# An answer may come this late after the timeout of the route.
TIMEOUT_S = 0.5
# Time after which no request may be handled by an older configuration than one before it, and where
# a fault affected the gateway.
ROLLBACK_SLACK_S, AFFECTED_ROLLBACK_SLACK_S = 0.25, 2.0
# Crashes by one part after which requests with it must stop reaching servers, and how many of them
# may do so later than DISCONNECTED_AFTER_S after that.
MAX_PART_CRASHES, MAX_LATE_PART_ARRIVALS = 5, 3
# Requests in each of the two times that are compared for sound requests beside such a part.
MIN_COMPARED = 20
# A stream sent at most this long after SIGTERM may be cut in the last sixth of the grace time.
STOP_STREAM_SENT_S = 3


class Run:
    """Run of a request on a server; is_complete is set when the full answer was sent."""

    def __init__(self, server, begin):
        self.server, self.begin, self.end, self.is_complete = server, begin, None, False


class SentRequest:
    """A request of a client with its answer, the servers it reached and its runs.

    kind is "stream", "once" (runs at most once), "read" (idempotent), "probe" (configuration) or
    "crashing" (a stream with a part in its prompt that crashes engines).
    """

    def __init__(self, request_id, gateway, method, target, kind, body,
                 deadline_s=ROUTE_TIMEOUT_S, part=None):
        self.id, self.gateway, self.method, self.target, self.kind, self.body = \
            request_id, gateway, method, target, kind, body
        # None once it is not known which process of the gateway has answered.
        self.process = gateway.process
        self.deadline_s = deadline_s
        # The part of the prompt that crashes engines.
        self.part = part
        self.is_long = target.startswith(LONG_PREFIX + "/")
        self.route_timeout_s = LONG_TIMEOUT_S if self.is_long else ROUTE_TIMEOUT_S
        self.begin = time.monotonic()
        self.end = None
        self.answer = None
        self.arrivals = []
        self.runs = []
        self.abandoned_by_client = False


class Record:
    def __init__(self):
        self.sent = {}
        self.violations = []
        self.orders = {}
        self.late_arrivals = []
        # Times of the crashes by part, and (part, begin, end) of the time in which it was sent.
        self.part_crashes = {}
        self.crashing_spans = []
        # Times of the waves, whose callers take all places of the engines.
        self.wave_spans = []

    def add_violation(self, rule, text):
        self.violations.append((rule, text))

    def add_arrival(self, server, request, now):
        request_id = request.headers.get("request-id", "")
        sent = self.sent.get(request_id)
        if sent is None:
            self.add_violation("UNASKED",
                               f"{server.name} received {request_id!r}, which no client sent")
            return
        if (request.method, request.target, request.body) != (sent.method, sent.target, sent.body):
            self.add_violation("UNASKED", f"{request_id} reached {server.name} modified")
        sent.arrivals.append((server, now))
        if server.left_at is not None and now - server.left_at > DRAIN_S + SLACK_S:
            self.late_arrivals.append((sent, server, server.left_at, now))

    def add_run(self, server, request, now):
        run = Run(server, now)
        sent = self.sent.get(request.headers.get("request-id", ""))
        if sent is not None:
            sent.runs.append(run)
            if sent.kind == "once" and len(sent.runs) > 1:
                self.add_violation("TWICE", f"{sent.id} ran {len(sent.runs)} times")
        return run

    def add_order(self, server, order, now):
        key = (server.name, server.instance)
        last = self.orders.get(key)
        if last and last[0] != order["holder"]:
            if now - last[2] < LEASE_S:
                self.add_violation("ONE", f"{key}: orders of {last[0]} and {order['holder']} "
                                   "within one lease")
            if order["fence"] <= last[1]:
                self.add_violation("ONE", f"{key}: token {order['fence']} after {last[1]}")
        self.orders[key] = (order["holder"], order["fence"], now)

    def check_answer(self, sent):
        """Checks MIXED and ORDER.

        A success is the complete, signed body of the server; a truncated answer never appears
        complete.
        """
        answer = sent.answer
        if answer.status == 0 or not 200 <= answer.status < 300:
            if "response-seal" in answer.headers and not sent.runs:
                self.add_violation("MIXED",
                                   f"{sent.id}: a failure is signed, but no server ran it")
            return
        if answer.headers.get("request-id") != sent.id:
            self.add_violation("MIXED",
                               f"{sent.id} got the answer of {answer.headers.get('request-id')}")
        seal = answer.headers.get("response-seal")
        if sent.kind == "stream":
            expected = b"".join(f"id: {n}\ndata: {sent.id}.{n}\n\n".encode()
                                for n in range(1, event_count(sent.id) + 1))
            # An end that is not stated may be that of a crashed server, but lies between two events.
            is_whole = answer.states_end() or any(run.is_complete for run in sent.runs)
            if answer.is_complete and is_whole and answer.body != expected:
                self.add_violation("ORDER", f"{sent.id}: a complete stream with wrong events")
            if answer.is_complete and answer.body and not answer.body.endswith(b"\n\n"):
                self.add_violation("ORDER", f"{sent.id}: a complete stream ends within an event")
            if not expected.startswith(answer.body):
                self.add_violation(
                    "ORDER", f"{sent.id}: events are missing, duplicated or of another stream")
        elif answer.is_complete:
            digest = hashlib.sha1(sent.body).hexdigest().encode()
            if seal != signature(answer.body) or digest not in answer.body or \
                    not answer.body.startswith(sent.id.encode()):
                self.add_violation("MIXED",
                                   f"{sent.id}: success without the server's complete body")

    def check_end(self, site, recovered_from):
        for sent, server, left_at, now in self.late_arrivals:
            if sent.gateway.is_unaffected(left_at, now) and not is_affected(server, now):
                self.add_violation("DRAIN", f"{sent.id} reached {server.name} "
                                   f"{now - left_at:.2f} s after it started leaving")
        lost = []
        self._check_gone()
        self._check_timeouts()
        for sent in self.sent.values():
            if sent.answer is None:
                continue
            if sent.kind == "once" and sent.answer.status in NOT_RUN_STATUSES and sent.runs:
                self.add_violation("REFUSED", f"{sent.id} got {sent.answer.status} and ran")
            if sent.part is None and len({run.server.instance for run in sent.runs}) > 2:
                self.add_violation("BUDGET", f"{sent.id} ran on {len(sent.runs)} servers")
            if self._is_lost(sent):
                lost.append(sent)
            self._check_stop_answer(sent)
        if len(lost) > MAX_LOST:
            for sent in lost:
                self.add_violation("LOST", f"{sent.id} ({sent.kind}) at {sent.gateway.name}, sent "
                                   f"to {[s.name for s, _ in sent.arrivals]}, status "
                                   f"{sent.answer.status}, {sent.end - sent.begin:.2f} s")
        self._check_configs(site)
        self._check_rollbacks(site)
        self._check_crashing_parts()
        after_recovery = [s for s in self.sent.values() if s.answer is not None
                          and s.begin >= recovered_from and not s.abandoned_by_client
                          and s.kind in ("stream", "once", "read")]
        served = sum(1 for s in after_recovery if s.answer.is_complete and s.answer.status == 200)
        if not after_recovery or served < 0.9 * len(after_recovery):
            self.add_violation("RECOVER", f"{served} of {len(after_recovery)} served after all "
                               "faults were over")

    def _is_lost(self, sent):
        if sent.abandoned_by_client or sent.answer.is_complete:
            return False
        if any(is_affected(server, sent.end) for server, _ in sent.arrivals):
            return False
        if not sent.gateway.is_unaffected(sent.begin, sent.end):
            return False
        # Only long routes have work that lasts longer than the deadline or the grace time.
        if sent.is_long and (sent.end - sent.begin >= sent.deadline_s or any(
                is_stream_at_forced_end(sent, stop) for stop, _ in sent.gateway.stops)):
            return False
        return bool(sent.arrivals) or sent.end - sent.begin > CLOSE_RACE_S

    def _check_stop_answer(self, sent):
        open_s = sent.end - sent.begin
        if sent.abandoned_by_client or sent.answer.is_complete or \
                not CLOSE_RACE_S < open_s < sent.deadline_s or \
                any(overlaps(server.faults, sent.begin, sent.end) for server, _ in sent.arrivals):
            return
        for stop, exited in sent.gateway.stops:
            # A process that is frozen at its SIGTERM starts its grace time later.
            if sent.begin < exited and sent.end > stop and \
                    not overlaps(sent.gateway.faults, min(sent.begin, stop),
                                 min(sent.end, exited)) and \
                    not is_stream_at_forced_end(sent, stop):
                self.add_violation(
                    "STOP_ANSWER", f"{sent.id} ({sent.kind}) at {sent.gateway.name}, sent "
                    f"{sent.begin - stop:.2f} s from SIGTERM, ended at {sent.end - stop:.2f} s, "
                    f"status {sent.answer.status}, deadline {sent.deadline_s} s, reached "
                    f"{[s.name for s, _ in sent.arrivals]}")

    def _check_gone(self):
        gone = [(sent, server, now - sent.end) for sent in self.sent.values()
                if sent.abandoned_by_client for server, now in sent.arrivals
                if now > sent.end + GONE_S and sent.gateway.is_unaffected(sent.end, now)
                and not is_affected(server, now)]
        if len(gone) > MAX_GONE:
            for sent, server, late_s in gone:
                self.add_violation("GONE", f"{sent.id} reached {server.name} {late_s:.2f} s after "
                                   f"its caller left {sent.gateway.name}")

    def _check_timeouts(self):
        for sent in self.sent.values():
            if sent.end is not None and sent.end - sent.begin > sent.route_timeout_s + TIMEOUT_S \
                    and sent.gateway.is_unaffected(sent.begin, sent.end):
                self.add_violation("TIMEOUT", f"{sent.id} ({sent.kind}) at {sent.gateway.name} "
                                   f"ended after {sent.end - sent.begin:.2f} s")

    def _check_crashing_parts(self):
        for part, crashes in self.part_crashes.items():
            if len(crashes) < MAX_PART_CRASHES:
                continue
            known = crashes[MAX_PART_CRASHES - 1] + DISCONNECTED_AFTER_S
            late = [(sent, server, now) for sent in self.sent.values() if sent.part == part
                    for server, now in sent.arrivals
                    if now > known and sent.gateway.is_unaffected(now, now)]
            if len(late) > MAX_LATE_PART_ARRIVALS:
                for sent, server, now in late:
                    self.add_violation("BUDGET", f"{sent.id} with part {part} reached "
                                       f"{server.name} {now - crashes[4]:.2f} s after the fifth of "
                                       f"{len(crashes)} crashes, from {sent.gateway.name}")
        # A gateway that was told to stop is not in touch; it refuses what it can no longer finish.
        streams = [s for s in self.sent.values() if s.kind == "stream" and s.end is not None
                   and not s.is_long and s.gateway.is_unaffected(s.begin, s.end)
                   and not overlaps(s.gateway.stops, s.begin - DISCONNECTED_AFTER_S, s.end)
                   and not overlaps(self.wave_spans, s.begin, s.end)]
        calm = [s for s in streams if not any(
            begin - 1 < s.begin < end + DISCONNECTED_AFTER_S
            for _, begin, end in self.crashing_spans)]
        # From its first crash until it must be known, a part ends streams beside others too.
        unknown = {}
        for part, begin, end in self.crashing_spans:
            crashes = self.part_crashes.get(part, [begin])
            unknown[part] = [crashes[0], crashes[min(len(crashes), MAX_PART_CRASHES) - 1]
                             + 2 * DISCONNECTED_AFTER_S]
        for part, begin, end in self.crashing_spans:
            others = [span for other, span in unknown.items() if other != part]
            beside = [s for s in streams if unknown[part][1] < s.begin < end
                      and not overlaps(others, s.begin, s.end)]
            if min(len(calm), len(beside)) < MIN_COMPARED:
                continue
            shares = [sum(1 for s in group if s.runs) / len(group) for group in (beside, calm)]
            if shares[0] < shares[1] / 2:
                self.add_violation("LOST", f"beside part {part} {shares[0]:.2f} of "
                                   f"{len(beside)} sound streams began, {shares[1]:.2f} of "
                                   f"{len(calm)} otherwise")

    def _check_configs(self, site):
        for sent in self.sent.values():
            if sent.kind != "probe" or sent.answer is None or not sent.answer.is_complete:
                continue
            prefix = "/" + sent.target.split("/")[1] + "/"
            if not sent.gateway.is_unaffected(sent.begin - CONFIG_APPLY_S, sent.end):
                continue
            acknowledged_configs = [allowed for acknowledged, allowed in site.configs
                                    if acknowledged <= sent.end]
            applied = [i for i, (acknowledged, _) in enumerate(site.configs)
                       if acknowledged <= sent.begin - CONFIG_APPLY_S - SLACK_S]
            candidates = acknowledged_configs[applied[-1] if applied else 0:]
            if sent.answer.status == 404 and all(prefix in allowed for allowed in candidates):
                self.add_violation("CONFIG", f"{sent.id}: 404 for a route of all active versions")
            if sent.answer.status == 200 and not any(prefix in allowed for allowed in candidates):
                self.add_violation("CONFIG", f"{sent.id}: served on a route that was removed")

    def _check_rollbacks(self, site):
        """Checks that no process returns to a configuration older than one that it has shown."""
        # (time, index) of the oldest configurations that answers of each process can stem from.
        shown = {}
        probes = [s for s in self.sent.values() if s.kind == "probe" and s.answer is not None
                  and s.process is not None and s.answer.is_complete
                  and s.answer.status in (200, 404)]
        for sent in sorted(probes, key=lambda s: s.end):
            prefix = "/" + sent.target.split("/")[1] + "/"
            fitting = [i for i, (acknowledged, allowed) in enumerate(site.configs)
                       if acknowledged <= sent.end
                       and (prefix in allowed) == (sent.answer.status == 200)]
            is_affected_gateway = overlaps(sent.gateway.faults,
                                           sent.begin - DISCONNECTED_AFTER_S, sent.end)
            slack_s = AFFECTED_ROLLBACK_SLACK_S if is_affected_gateway else ROLLBACK_SLACK_S
            effects = shown.setdefault(sent.process, [])
            at, newest = max((effect for effect in effects if effect[0] + slack_s < sent.begin),
                             key=lambda effect: effect[1], default=(0.0, 0))
            if any(i >= newest for i in fitting):
                effects.append((sent.end, min(i for i in fitting if i >= newest)))
            elif fitting:
                self.add_violation(
                    "CONFIG", f"{sent.id}: {sent.answer.status} for {prefix} at {sent.gateway.name} "
                    f"as in version {fitting[-1]}, {sent.begin - at:.2f} s after it had shown "
                    f"version {newest}")


def overlaps(faults, begin, end):
    return any(b < end and e > begin for b, e in faults)


def is_stream_at_forced_end(sent, stop):
    """True for a stream that a server was working on when the grace time of a stop was ending."""
    last_sixth = stop + STOP_GRACE_S * 5 / 6
    return sent.kind == "stream" and sent.begin <= stop + STOP_STREAM_SENT_S and \
        last_sixth <= sent.end <= stop + STOP_GRACE_S and \
        any(run.begin < sent.end and (run.end is None or run.end >= last_sixth)
            for run in sent.runs)


def is_affected(server, now):
    """True when a fault affected the server or its link.

    The time checked is DISCONNECTED_AFTER_S + 4 s up to now.
    """
    return any(b < now and e > now - DISCONNECTED_AFTER_S - 4 for b, e in server.faults)

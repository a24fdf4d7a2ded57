"""Starts and stops a small fleet of real processes on loopback for demo and measurements."""

import itertools
import json
import os
import signal
import socket
import subprocess
import time
import urllib.request

START_TIMEOUT_S = 30
FIRST_PORT = 20_000
PORT_COUNT = 10_000
# Consecutive runs start their search at different ports, because their process ids differ.
PORT_COUNTER = itertools.count(os.getpid() * 97)


def free_ports(count):
    """Returns distinct free ports below the ephemeral range.

    The kernel assigns ports of the ephemeral range to outgoing connections, possibly before the
    started process binds the port.
    """
    ports = []
    while len(ports) < count:
        port = FIRST_PORT + next(PORT_COUNTER) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def request(method, url, body=None, timeout=5):
    """Sends an HTTP request and returns (status, parsed JSON or text)."""
    data = None if body is None else json.dumps(body).encode()
    req = urllib.request.Request(url, data=data, method=method,
                                 headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(req, timeout=timeout) as answer:
            status, text = answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Fleet:
    """Platform, engines, services, agents and entries as local processes."""

    def __init__(self, bin_dir, run_dir, settings, entries=2, engines=(), services=(), domains=3,
                 log_level="info"):
        """Creates run_dir; start() starts the processes.

        engines: dicts with role, model and optional args.
        services: dicts with service and optional args.
        """
        self.bin_dir = bin_dir
        self.run_dir = run_dir
        self.settings = settings
        self.log_level = log_level
        self.processes = {}
        self.process_infos = []
        self.domains = [f"fd-{chr(ord('a') + i)}" for i in range(domains)]
        self.entry_count = entries
        self.engine_specs = list(engines)
        self.service_specs = list(services)
        os.makedirs(run_dir, exist_ok=True)

    def spawn(self, name, program, args):
        log = open(os.path.join(self.run_dir, f"{name}.log"), "ab")
        process = subprocess.Popen([os.path.join(self.bin_dir, program), *args], stdout=log,
                                   stderr=log)
        log.close()
        self.processes[name] = process
        return process

    def start(self):
        self._start_platform()
        self._start_upstreams()
        self._start_entries()
        self._publish_vms()
        self._wait_ready()
        with open(os.path.join(self.run_dir, "fleet.json"), "w", encoding="utf-8") as out:
            json.dump({"processes": self.process_infos}, out, indent=2)

    def _start_platform(self):
        (port,) = free_ports(1)
        self.platform_url = f"http://127.0.0.1:{port}"
        self.spawn("platform", "standin-platform", ["--listen", f"127.0.0.1:{port}"])
        self.process_infos.append(self._process_info("platform", "platform", url=self.platform_url))
        self._wait_http(self.platform_url + "/vms")
        tree = json.dumps({"version": 1, "tree": self.settings})
        change = json.dumps({"version": 1, "change_id": "initial", "author": "fleet.py",
                             "at_unix_ms": 0, "operations": []})
        status, body = request("POST", self.platform_url + "/table/transactions", {
            "conditions": [{"key": "settings/head", "version": 0}],
            "writes": [{"key": "settings/head", "value": json.dumps({"version": 1})},
                       {"key": "settings/snapshot", "value": tree},
                       {"key": "settings/log/1", "value": change}]})
        if status != 200:
            raise RuntimeError(f"cannot write initial settings: {status} {body}")

    def _start_upstreams(self):
        self.vms = []
        self.engine_urls = []
        self.service_urls = []
        for index, spec in enumerate(self.engine_specs):
            self._start_engine(index, spec)
        for index, spec in enumerate(self.service_specs):
            self._start_service(index, spec)

    def _start_engine(self, index, spec):
        name = f"engine-{index}"
        (port,) = free_ports(1)
        url = f"http://127.0.0.1:{port}"
        self.spawn(name, "standin-engine", [
            "--listen", f"127.0.0.1:{port}", "--role", spec["role"], "--model", spec["model"],
            *[str(arg) for arg in spec.get("args", [])]])
        self.engine_urls.append(url)
        self.process_infos.append(self._process_info(name, "engine", url=url))
        self._start_agent(f"agent-{name}", index, {
            "url": url, "kind": "engine", "model": spec["model"], "role": spec["role"]})

    def _start_service(self, index, spec):
        name = f"service-{spec['service']}-{index}"
        (port,) = free_ports(1)
        url = f"http://127.0.0.1:{port}"
        self.spawn(name, "standin-service", [
            "--listen", f"127.0.0.1:{port}", *[str(arg) for arg in spec.get("args", [])]])
        self.service_urls.append(url)
        self.process_infos.append(self._process_info(name, "service", url=url))
        self._start_agent(f"agent-{name}", index,
                          {"url": url, "kind": "service", "service": spec["service"]})

    def _start_agent(self, name, index, upstream):
        link, operator, lock = free_ports(3)
        domain = self.domains[index % len(self.domains)]
        boot = {"id": name, "failure_domain": domain, "region": "region-1",
                "listen": {"operator": f"127.0.0.1:{operator}", "link": f"127.0.0.1:{link}",
                           "lock": f"127.0.0.1:{lock}"},
                "platform_url": self.platform_url, "upstream": upstream}
        self._start_process(name, "rattanramp-agent", boot)
        self.process_infos.append(self._process_info(
            name, "agent", operator_url=f"http://127.0.0.1:{operator}", link=f"127.0.0.1:{link}"))
        self.vms.append({"id": name, "role": "agent", "link_address": f"127.0.0.1:{link}",
                         "failure_domain": domain, "region": "region-1", "state": "live"})

    def _start_entries(self):
        self.entries = []
        self.entry_operators = []
        ports = free_ports(3 * self.entry_count)
        links = [f"127.0.0.1:{port}" for port in ports[0::3]]
        for index in range(self.entry_count):
            name = f"entry-{index}"
            caller, operator = ports[3 * index + 1], ports[3 * index + 2]
            domain = self.domains[index % len(self.domains)]
            boot = {"id": name, "failure_domain": domain, "region": "region-1",
                    "listen": {"caller": f"127.0.0.1:{caller}",
                               "operator": f"127.0.0.1:{operator}", "link": links[index]},
                    "platform_url": self.platform_url,
                    "peers": [link for link in links if link != links[index]], "upstreams": []}
            self._start_process(name, "rattanramp-entry", boot)
            self.entries.append(f"127.0.0.1:{caller}")
            self.entry_operators.append(f"http://127.0.0.1:{operator}")
            self.process_infos.append(self._process_info(
                name, "entry", caller_url=f"http://127.0.0.1:{caller}",
                operator_url=f"http://127.0.0.1:{operator}", link=links[index]))
            self.vms.append({"id": name, "role": "entry", "link_address": links[index],
                             "failure_domain": domain, "region": "region-1", "state": "live"})

    def _start_process(self, name, program, boot):
        path = os.path.join(self.run_dir, f"{name}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(boot, out, indent=2)
        self.spawn(name, program, ["--config", path, "--log-level", self.log_level])

    def _publish_vms(self):
        status, body = request("PUT", self.platform_url + "/vms", {"vms": self.vms})
        if status != 200:
            raise RuntimeError(f"cannot publish the VM list: {status} {body}")

    def _process_info(self, name, role, **urls):
        return {"name": name, "role": role, "pid": self.processes[name].pid, **urls}

    def _wait_http(self, url):
        self._wait_for(url, lambda: request("GET", url)[0] == 200)

    def _wait_for(self, what, condition):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for name, process in self.processes.items():
                if process.poll() is not None:
                    raise RuntimeError(f"{name} exited with {process.returncode}; see its log")
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"timeout while waiting for {what}")

    def _wait_ready(self):
        for item in self.process_infos:
            if "operator_url" in item:
                self._wait_http(item["operator_url"] + "/readyz")
        agents = sum(1 for vm in self.vms if vm["role"] == "agent")
        for operator in self.entry_operators:
            self._wait_for("links", lambda op=operator: self._ready_agents(op) == agents)

    @staticmethod
    def _ready_agents(operator):
        status, body = request("GET", operator + "/state")
        if status != 200 or not isinstance(body, dict):
            return 0
        return sum(1 for agent in body["fleet"] if agent["ready"])

    def stop(self):
        """Stops entries, then agents, then all other processes; returns exit codes by name."""
        stop_order = {"entry": 0, "agent": 1}
        groups = {}
        for name, process in self.processes.items():
            groups.setdefault(stop_order.get(name.split("-")[0], 2), []).append((name, process))
        codes = {}
        for _, members in sorted(groups.items()):
            for _, process in members:
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
            for name, process in members:
                try:
                    codes[name] = process.wait(timeout=10)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                    codes[name] = "killed after 10 s"
        return codes

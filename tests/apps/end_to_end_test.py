"""End-to-end tests of jujubecartd and jujubectl with the fakes."""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BUILD, Fleet, wait_until
from fleet import http as http_call

# Time from the end of the last request to the end of the process; the rest of a
# grace period of 6 s is for the requests.
EXIT_TIMEOUT_S = 1
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class OneVm(unittest.TestCase):
    """One VM: requests, tickets, settings and stop."""

    def setUp(self):
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.vm = self.fleet.vms[0]

    def test_log_names_the_sources_of_the_program(self):
        """Guards against a program of another work tree, as an old build folder
        can have it, whose log does not tell that."""
        script = os.path.join(ROOT, "cmake", "SourceDigest.cmake")
        digest = subprocess.run(["cmake", "-P", script], check=True, text=True,
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT).stdout.strip()
        self.assertRegex(digest, "^[0-9a-f]{12}$")
        self.wait_for_log(f"event=vm.started .*sources={digest}")

    def test_request_without_configuration_is_rejected_as_not_run(self):
        """Guards against a VM without configuration that forwards a request,
        gives it a wrong outcome or reports itself ready."""
        status, headers, _ = http_call(self.vm.callers, "GET", "/tags/1")
        self.assertEqual(status, 503)
        self.assertEqual(headers["X-Outcome"], "not-run")
        self.assertFalse(self.fleet.ready(self.vm))

    def test_request_after_a_ticket_gets_the_response_of_the_backend(self):
        """Guards against a ticket that is accepted but not applied, a wrong
        outcome header, and calls that are missing in the timeline."""
        code, text = self.fleet.ctl("ticket", "submit", self.fleet.ticket(1), "--wait")
        self.assertEqual(code, 0, text)
        self.assertTrue(self.fleet.ready(self.vm))
        status, headers, body = http_call(self.vm.callers, "GET", "/tags/1", {"X-Draw": "0" * 15 + "1"})
        self.assertEqual(status, 200, body)
        self.assertNotIn("X-Outcome", headers)
        self.assertIn("X-Request-Id", headers)
        status, headers, _ = http_call(self.vm.callers, "GET", "/nothing")
        self.assertEqual(status, 404)
        self.assertEqual(headers["X-Outcome"], "not-run")
        code, text = self.fleet.ctl("timeline")
        self.assertEqual(code, 0)
        self.assertIn("call.answered", text)
        self.assertIn("config.applied", text)

    def explain(self, *arguments):
        """Parsed output of `jujubectl explain`."""
        code, text = self.fleet.ctl("--json", "explain", *arguments)
        self.assertEqual(code, 0, text)
        return json.loads(text)["explanation"]

    def counters(self):
        """Metrics that count requests, slots, connections or probes."""
        text = http_call(self.vm.operators, "GET", "/metrics")[2].decode()
        return re.findall(r"^jujubecart_(?:requests|attempts|dispatch|quota|backend_connect|"
                          r"zone|retries|hedges)\S* \S+$", text, re.M)

    def groups(self):
        """Groups that /status lists."""
        return json.loads(http_call(self.vm.operators, "GET", "/status")[2])["groups"]

    def test_explain_tells_what_a_request_gets_and_sends_nothing(self):
        """Guards against an explanation that differs from what the VM does, or
        that sends, counts or holds something."""
        self.assertEqual(self.explain("shop.example", "/tags/1")["rejected"]["status"], 503)
        self.assertEqual(self.fleet.ctl("ticket", "submit", self.fleet.ticket(1), "--wait")[0], 0)
        http_call(self.vm.callers, "GET", "/tags/1", {"X-Draw": "0" * 15 + "1"})
        # The VM ranks itself for its groups within 0.1 s, and lists them then.
        wait_until(self.groups, "the VM lists its groups")
        before = self.counters()
        for _ in range(20):
            found = self.explain("shop.example", "/tags/1")
        self.assertEqual(self.counters(), before)
        self.assertEqual(self.groups()[0]["servers"][0]["in_flight"], 0)
        self.assertEqual((found["verdict"], found["dispatcher"], found["revision"]),
                         ("sent", "vm0", 1))
        self.assertIn(found["server"], ("b0", "b1"))
        self.assertTrue(self.explain("shop.example", "/orders/1", "--method", "POST")
                        ["needs_order_key"])
        self.assertEqual(self.explain("shop.example", "/nothing")["rejected"]["status"],
                         http_call(self.vm.callers, "GET", "/nothing")[0])
        code, text = self.fleet.ctl("explain", "shop.example", "/tags/1")
        self.assertEqual(code, 0, text)
        self.assertRegex(text, r"verdict +sent to b[01]\n")
        self.assertRegex(text, r"\n1 +b[01] +candidate +active +0/")

    def test_explain_names_the_bad_parameter(self):
        """Guards against a typing error that is explained as another request,
        and against an API key that is missing without a word."""
        for arguments, message in ((("shop.example", "tags"), 'parameter "path"'),
                                   (("shop example", "/tags"), 'parameter "host"'),
                                   (("shop.example", "/", "--method", "get"), 'parameter "method"'),
                                   (("shop.example", "/", "--key-file", "/nothing"), "no API key")):
            code, text = self.fleet.ctl("explain", *arguments)
            self.assertEqual(code, 2, text)
            self.assertIn(message, text)

    def test_bad_or_outdated_ticket_changes_nothing(self):
        """Guards against accepting an invalid or a beaten ticket: one based on
        a revision after which another ticket changed the same services."""
        self.assertEqual(self.fleet.ctl("ticket", "submit", self.fleet.ticket(1))[0], 0)
        code, text = self.fleet.ctl("ticket", "submit",
                                    self.fleet.write("bad.json", {"number": 0}))
        self.assertEqual(code, 2, text)
        code, text = self.fleet.ctl("ticket", "submit", self.fleet.ticket(2, based_on=0))
        self.assertEqual(code, 1, text)
        self.assertIn("by ticket 1", text)
        code, text = self.fleet.ctl("--json", "service", "list")
        self.assertEqual(json.loads(text)["revision"], 1)

    def test_changed_settings_are_checked_with_and_without_a_signal(self):
        """Guards against an invalid settings file that is noticed only at the
        next restart: changes are checked without a signal and on SIGHUP."""
        settings = self.fleet.settings(self.vm)
        self.fleet.write("vm0.json", {**settings, "log_level": "loud"})
        self.wait_for_log("event=settings.reloaded .*valid=no")
        self.fleet.write("vm0.json", {**settings, "policy": "random"})
        self.wait_for_log('changed="?after restart"?')
        self.fleet.write("vm0.json", settings)
        self.vm.process.send_signal(signal.SIGHUP)
        self.wait_for_log("event=settings.reloaded .*changed=no")
        self.assertIsNone(self.vm.process.poll())

    def wait_for_log(self, pattern):
        """Waits until the log of the VM matches a regular expression."""
        wait_until(lambda: re.search(pattern, self.fleet.log_text("vm0")),
                   f"the log matches {pattern}")

    def test_sigterm_while_idle_exits_with_zero(self):
        """Guards against a VM without requests that hangs on SIGTERM or exits
        with an error."""
        self.vm.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.vm.process.wait(20), 0)
        self.assertIn("event=vm.stopped", self.fleet.log_text("vm0"))

    def test_process_ends_although_health_checkers_keep_connections_open(self):
        """Guards against a process that has stopped but does not end, because
        the platform's balancer keeps connections to its readiness check."""
        checkers = [http.client.HTTPConnection("127.0.0.1", self.vm.operators, timeout=10)
                    for _ in range(3)]
        self.addCleanup(lambda: [checker.close() for checker in checkers])
        for checker in checkers:
            checker.request("GET", "/ready")
            checker.getresponse().read()
        checkers[0].sock.sendall(b"GET /rea")
        self.vm.process.send_signal(signal.SIGTERM)
        wait_until(lambda: "event=vm.stopped" in self.fleet.log_text("vm0"),
                   "the VM has stopped")
        self.assertEqual(self.vm.process.wait(EXIT_TIMEOUT_S), 0)

    def test_process_ends_although_a_ticket_waits_for_the_store(self):
        """Guards against a process that has stopped but does not end, because
        a ticket waits for a response that nobody handles any more."""
        http_call(self.fleet.store_port, "POST", "/control", body='{"outage": "silent"}')
        connection = http.client.HTTPConnection("127.0.0.1", self.vm.operators, timeout=10)
        self.addCleanup(connection.close)
        with open(self.fleet.ticket(1), encoding="utf-8") as ticket:
            connection.request("POST", "/tickets", ticket.read())
        time.sleep(0.5)
        self.vm.process.send_signal(signal.SIGTERM)
        wait_until(lambda: "event=vm.stopped" in self.fleet.log_text("vm0"),
                   "the VM has stopped")
        self.assertEqual(self.vm.process.wait(EXIT_TIMEOUT_S), 0)
        self.assertEqual(connection.getresponse().status, 504)


class ExitCodes(unittest.TestCase):
    """Exit codes of jujubectl for what the operators' port answers."""

    def submit(self, answer):
        """Submits a ticket to a port that reads the request and sends bytes."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            def serve():
                connection = listener.accept()[0]
                with connection:
                    connection.recv(65536)
                    connection.sendall(answer)
            server = threading.Thread(target=serve)
            server.start()
            with tempfile.NamedTemporaryFile("w", suffix=".json") as ticket:
                ticket.write('{"number": 1}')
                ticket.flush()
                code = subprocess.run(
                    [os.path.join(BUILD, "apps/jujubectl/jujubectl"), "--endpoint",
                     f"127.0.0.1:{listener.getsockname()[1]}", "ticket", "submit", ticket.name],
                    capture_output=True, timeout=30, check=False).returncode
            server.join()
        return code

    def test_only_a_stated_refusal_means_that_nothing_was_changed(self):
        """Guards against an exit code that says that a ticket was refused,
        although the answer does not."""
        def answer(status, body):
            return (f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                    f"{body}").encode()
        rows = [
            (200, '{"state": "accepted"}', 0),
            (409, '{"state": "beaten"}', 1),
            (409, '{"state": "number-reused"}', 1),
            (400, '{"state": "invalid"}', 2),
            (413, "too large", 2),
            (503, '{"state": "unavailable"}', 3),
            (504, '{"state": "unknown"}', 4),
            (500, "error", 4),
            (503, "busy", 4),
            (202, '{"state": "queued"}', 4),
        ]
        for status, body, expected in rows:
            with self.subTest(status=status, body=body):
                self.assertEqual(self.submit(answer(status, body)), expected)
        with self.subTest("cut"):
            self.assertEqual(self.submit(answer(409, '{"state": "beaten"}')[:-4]), 4)
        with self.subTest("closed"):
            self.assertEqual(self.submit(b""), 4)


class LogSinks(unittest.TestCase):
    """A VM whose log nobody can read any more."""

    REQUESTS = 300
    DRAW = {"X-Draw": "0" * 15 + "1"}

    def check(self, sink, broken):
        """Runs a VM that logs to a file descriptor. Calls a function, then
        sends requests and stops the VM while they are under way."""
        with Fleet() as fleet:
            vm = fleet.vms[0]
            vm.process.terminate()
            self.assertEqual(vm.process.wait(20), 0)
            fleet.start_vm(vm, stdout=sink)
            code, text = fleet.ctl("ticket", "submit", fleet.ticket(1), "--wait")
            self.assertEqual(code, 0, text)
            broken()
            statuses = [http_call(vm.callers, "GET", "/tags/1", self.DRAW)[0]
                        for _ in range(self.REQUESTS)]
            self.assertEqual(statuses, [200] * self.REQUESTS)
            late = []
            sender = threading.Thread(target=lambda: late.append(
                http_call(vm.callers, "GET", "/tags/1", self.DRAW)[0]))
            sender.start()
            vm.process.send_signal(signal.SIGTERM)
            self.assertEqual(vm.process.wait(20), 0)
            sender.join()

    def test_vm_outlives_the_reader_of_its_log(self):
        """Guards against a VM that ends by SIGPIPE, and drops its requests,
        when the process that reads its log has ended."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.check(writer, lambda: os.close(reader))

    def test_vm_does_not_wait_for_the_reader_of_its_log(self):
        """Guards against a VM that blocks because nobody reads its log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.check(writer, lambda: None)

    def test_vm_runs_on_when_the_disk_of_its_log_is_full(self):
        """Guards against a VM that ends when its log cannot be written."""
        with open("/dev/full", "wb") as sink:
            self.check(sink, lambda: None)


class StoreDown(unittest.TestCase):
    """A VM that starts while the store is not running."""

    def test_vm_waits_until_the_store_returns(self):
        """Guards against a VM that exits, or whose watch hangs in its backoff,
        after the first attempts to reach the store failed."""
        with Fleet(with_store=False) as fleet:
            vm = fleet.vms[0]
            code, text = fleet.ctl("ticket", "submit", fleet.ticket(1))
            self.assertEqual(code, 3, text)
            self.assertFalse(fleet.ready(vm))
            wait_until(lambda: fleet.log_text("vm0").count("store_unavailable") > 3,
                       "the VM has retried to reach the store")
            fleet.start_store()
            code, text = fleet.ctl("ticket", "submit", fleet.ticket(1), "--wait")
            self.assertEqual(code, 0, text)
            self.assertIsNone(vm.process.poll())


class SeveralVms(unittest.TestCase):
    """Three VMs that share members, configuration and dispatchers."""

    def setUp(self):
        self.fleet = Fleet(vms=3)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        wait_until(self.members_known, "every VM knows the other two")
        code, text = self.fleet.ctl("ticket", "submit", self.fleet.ticket(1), "--wait")
        self.assertEqual(code, 0, text)

    def members_known(self):
        """Whether every VM lists all three members."""
        return all(len(self.status(vm)["members"]) == 3 for vm in self.fleet.vms)

    @staticmethod
    def status(vm):
        """Parsed `/status` of a VM."""
        return json.loads(http_call(vm.operators, "GET", "/status")[2])

    @staticmethod
    def lookup(vm, number):
        """Sends one lookup; the number is its draw, which sets service time."""
        return http_call(vm.callers, "GET", "/tags/1", {"X-Draw": f"{number:016x}"})

    @staticmethod
    def order(vm, key):
        """Sends one order with an idempotency key."""
        return http_call(vm.callers, "POST", "/orders/1",
                    {"X-Draw": f"{7:016x}", "Idempotency-Key": key}, b"order")

    def dispatchers(self):
        """VMs that dispatch at least one group of backend servers."""
        return [vm for vm in self.fleet.vms
                if any(group["servers"] for group in self.status(vm)["groups"])]

    def test_order_key_sent_to_every_vm_is_accepted_once(self):
        """Guards against an order that runs twice because its key is sent to
        several VMs."""
        first = self.order(self.fleet.vms[0], "key-1")
        self.assertNotIn("X-Outcome", first[1], first)
        for vm in self.fleet.vms:
            status, headers, _ = self.order(vm, "key-1")
            self.assertEqual((status, headers.get("X-Outcome")), (409, "unknown"))

    def test_explain_asks_the_dispatcher_that_another_vm_names(self):
        """Guards against VMs that name different dispatchers, and against a
        command that shows the guess of a VM as the dispatcher's decision."""
        found = []
        for number in range(3):
            code, text = self.fleet.ctl("--json", "explain", "shop.example", "/tags/1", vm=number)
            self.assertEqual(code, 0, text)
            found.append(json.loads(text))
        dispatchers = {each["explanation"]["dispatcher"] for each in found}
        self.assertEqual(len(dispatchers), 1, found)
        dispatcher = dispatchers.pop()
        for number, each in enumerate(found):
            self.assertEqual(each["explanation"]["verdict"],
                             "sent" if f"vm{number}" == dispatcher else "asks")
            asked = [item["vm"] for item in each["dispatchers"]]
            self.assertEqual(asked, [] if f"vm{number}" == dispatcher else [dispatcher])
            for item in each["dispatchers"]:
                self.assertEqual(item["explanation"]["vm"], dispatcher)
                self.assertEqual(item["explanation"]["verdict"], "sent")
        # A VM that is asked for another one decides, whatever it ranks itself.
        killed = int(dispatcher[2:])
        vm = self.fleet.vms[(killed + 1) % 3]
        group = found[killed]["explanation"]["services"][0]["groups"][0]["group"]
        status, _, body = http_call(vm.operators, "GET", "/explain?host=shop.example&path=/tags/1"
                                    f"&group={group}&vm={dispatcher}&excluded=%ff")
        self.assertEqual((status, json.loads(body)["verdict"]), (200, "sent"), body)
        self.fleet.vms[killed].process.kill()
        self.fleet.vms[killed].process.wait()
        code, text = self.fleet.ctl("explain", "shop.example", "/tags/1", vm=(killed + 1) % 3)
        self.assertEqual(code, 0, text)
        self.assertIn(f"dispatcher {dispatcher} did not answer", text)

    def test_store_down_rejects_orders_as_not_run_and_serves_lookups(self):
        """Guards against an order that runs without a claim of its key in the
        store, and against lookups that fail without the store."""
        self.fleet.store.kill()
        status, headers, _ = self.order(self.fleet.vms[0], "key-2")
        self.assertEqual((status, headers.get("X-Outcome")), (503, "not-run"))
        self.assertEqual(self.lookup(self.fleet.vms[1], 1)[0], 200)

    def test_configuration_reaches_a_new_vm_while_the_store_is_down(self):
        """Guards against a restarted VM that cannot get the configuration from
        the other VMs, or that applies an older revision."""
        vm = self.fleet.vms[2]
        self.fleet.store.kill()
        vm.process.kill()
        vm.process.wait()
        self.fleet.start_vm(vm)
        wait_until(lambda: self.fleet.ready(vm), "the new VM is ready", 10)
        self.assertEqual(self.status(vm)["revision"], 1)
        self.assertEqual(self.lookup(vm, 2)[0], 200)

    def test_killed_or_paused_dispatcher_costs_no_lookup(self):
        """Guards against lookups that fail because their dispatcher is gone:
        one is paused with SIGSTOP, then one is ended with SIGKILL."""
        for signal_number in (signal.SIGSTOP, signal.SIGKILL):
            for number in range(20):
                self.assertEqual(self.lookup(self.fleet.vms[number % 3], number)[0], 200)
            # /status lists a dispatcher up to 100 ms (one round of the
            # ranking) after it has begun to grant.
            wait_until(self.dispatchers, "a VM reports that it dispatches")
            victim = self.dispatchers()[0]
            victim.process.send_signal(signal_number)
            others = [vm for vm in self.fleet.vms if vm is not victim]
            for number in range(40):
                status, _, body = self.lookup(others[number % 2], number)
                self.assertEqual(status, 200, body)
            if signal_number == signal.SIGSTOP:
                victim.process.send_signal(signal.SIGCONT)

    def test_sigterm_under_load_cuts_off_no_request(self):
        """Guards against a stop that closes connections while their requests
        are in flight."""
        results = []
        workers = [threading.Thread(target=send_until_refused, args=(self, results))
                   for _ in range(8)]
        for worker in workers:
            worker.start()
        wait_until(lambda: len(results) > 50, "requests are flowing")
        self.fleet.vms[0].process.send_signal(signal.SIGTERM)
        for worker in workers:
            worker.join()
        self.assertEqual(self.fleet.vms[0].process.wait(20), 0)
        self.assertEqual(set(results), {200})
        self.assertIn("cut_off=0", self.fleet.log_text("vm0"))


def send_until_refused(case, results):
    """Sends lookups until the first VM refuses a connection."""
    for number in range(100000):
        try:
            results.append(case.lookup(case.fleet.vms[0], number)[0])
        except ConnectionRefusedError:
            return


if __name__ == "__main__":
    unittest.main()

"""End-to-end tests of the shipped programs against the fakes."""

import json
import signal
import unittest

from fleet import Fleet, http, wait_until


class OneVm(unittest.TestCase):
    """Path of one request through one VM."""

    def setUp(self):
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.vm = self.fleet.vms[0]

    def test_request_without_configuration_is_rejected_as_not_run(self):
        """Guards against forwarding or a wrong outcome before a ticket."""
        status, headers, _ = http(self.vm.callers, "GET", "/tags/1")
        self.assertEqual(status, 503)
        self.assertEqual(headers["X-Outcome"], "not-run")
        self.assertFalse(self.fleet.ready(self.vm))

    def test_ticket_then_request_gives_backend_answer(self):
        """Guards against a broken path from ticket to answer."""
        code, text = self.fleet.ctl("ticket", "submit", self.fleet.ticket(1), "--wait")
        self.assertEqual(code, 0, text)
        self.assertTrue(self.fleet.ready(self.vm))
        status, headers, body = http(self.vm.callers, "GET", "/tags/1", {"X-Draw": "0" * 15 + "1"})
        self.assertEqual(status, 200, body)
        self.assertNotIn("X-Outcome", headers)
        self.assertIn("X-Request-Id", headers)
        status, headers, _ = http(self.vm.callers, "GET", "/nothing")
        self.assertEqual(status, 404)
        self.assertEqual(headers["X-Outcome"], "not-run")
        code, text = self.fleet.ctl("timeline")
        self.assertEqual(code, 0)
        self.assertIn("call.answered", text)
        self.assertIn("config.applied", text)

    def test_bad_or_outdated_ticket_changes_nothing(self):
        """Guards against accepting an invalid or a beaten ticket."""
        self.assertEqual(self.fleet.ctl("ticket", "submit", self.fleet.ticket(1))[0], 0)
        code, text = self.fleet.ctl("ticket", "submit",
                                    self.fleet.write("bad.json", {"number": 0}))
        self.assertEqual(code, 2, text)
        code, text = self.fleet.ctl("ticket", "submit", self.fleet.ticket(2, based_on=0))
        self.assertEqual(code, 1, text)
        self.assertIn("by ticket 1", text)
        code, text = self.fleet.ctl("--json", "service", "list")
        self.assertEqual(json.loads(text)["revision"], 1)

    def test_sigterm_while_idle_exits_with_zero(self):
        """Guards against a stop that hangs or reports a failure."""
        self.vm.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.vm.process.wait(20), 0)
        self.assertIn("event=vm.stopped", self.fleet.log_text("vm0"))


class StoreDown(unittest.TestCase):
    """A VM that starts while the store cannot be reached."""

    def test_vm_waits_until_the_store_returns(self):
        """Guards against a crash or a hang of the watch that backs off."""
        with Fleet(with_store=False) as fleet:
            vm = fleet.vms[0]
            code, text = fleet.ctl("ticket", "submit", fleet.ticket(1))
            self.assertEqual(code, 3, text)
            self.assertFalse(fleet.ready(vm))
            wait_until(lambda: fleet.log_text("vm0").count("store_unavailable") > 3,
                       "the VM has retried")
            fleet.start_store()
            code, text = fleet.ctl("ticket", "submit", fleet.ticket(1), "--wait")
            self.assertEqual(code, 0, text)
            self.assertIsNone(vm.process.poll())


if __name__ == "__main__":
    unittest.main()

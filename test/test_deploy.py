"""Tests that the deploy file's templates render to valid settings of the roles."""

from __future__ import annotations

import pathlib
import re
import tempfile
import tomllib

import testtools

from bulrushpulley.entities.address import split_address
from bulrushpulley.main import PROCESS_FACTORY_BY_VERB
from bulrushpulley.roles.job_entry_process import claim_stagger
from bulrushpulley.settings import (
    JobAgentSettings,
    JobEntrySettings,
    load,
    load_any,
)

DEPLOY = pathlib.Path(__file__).resolve().parent.parent / "deploy"
# A value for each placeholder, as the platform fills them in for a process.
VALUE_BY_PLACEHOLDER = {
    "Node": "edge-ege-izmir-1",
    "Region": "ege",
    "Zone": "ege-izmir",
    "Service": "huvo11a",
    "Ip": "10.1.0.13",
    "PortRange.0": "7720",
    "Listen.Front": "10.1.0.13:8161",
    "Listen.Ready": "10.1.0.13:8167",
    "Listen.Control": "10.1.0.13:8166",
    "Recommendation": "10.200.1.9:8169",
    "platform.Addr": "10.200.1.7:8169",
    "Bounds.MaxHoldMs": "6000",
    "Bounds.KillTimeoutMs": "200",
    "Bounds.LeaseMs": "3000",
    "Bounds.ConfigApplyMs": "2200",
    "Cloud.Addr": "10.200.0.79:8169",
    "Bounds.finish_s": "14",
    "Limits.CpuShare": "0.537",
    "Limits.Cores": "2",
}


def render_template(name: str, **overrides: str) -> pathlib.Path:
    """Return the path of a template with its placeholders filled in."""
    values = {**VALUE_BY_PLACEHOLDER, **overrides}
    text = (DEPLOY / name).read_text()
    text = re.sub(
        r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match.group(2).replace("{{.}}", values.get(match.group(1), "")),
        text,
        flags=re.DOTALL,
    )
    filled = re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], text)
    path = pathlib.Path(tempfile.mkdtemp()) / name
    path.write_text(filled)
    return path


class DeployTest(testtools.TestCase):
    def test_the_entry_template_renders_to_valid_settings(self) -> None:
        settings = load(JobEntrySettings, render_template("entry.toml"))
        self.assertEqual(("10.1.0.13", 8161), split_address(settings.callers))
        self.assertEqual(6.0, settings.limits.longest_lease_s)
        self.assertEqual(0.2, settings.limits.kill_s)
        self.assertEqual(3.0, settings.limits.turn_s)
        self.assertEqual(2.2, settings.limits.orders_within_s)
        self.assertAlmostEqual(1.074, settings.processor.processors)
        self.assertAlmostEqual(0.463, claim_stagger(settings))

    def test_the_entry_template_is_valid_without_an_advice_service(self) -> None:
        settings = load(
            JobEntrySettings, render_template("entry.toml", Recommendation="")
        )
        self.assertEqual("", settings.advice)

    def test_the_agent_template_renders_to_valid_settings(self) -> None:
        settings = load(JobAgentSettings, render_template("agent.toml"))
        self.assertEqual(("10.1.0.13", 7720), split_address(settings.links))
        self.assertIs(JobAgentSettings, type(load_any(render_template("agent.toml"))))

    def test_no_lease_is_longer_than_the_platform_allows(self) -> None:
        settings = load(JobAgentSettings, render_template("agent.toml"))
        bounds = settings.bounds.within(settings.limits)
        self.assertLess(bounds.lease_s, settings.limits.longest_lease_s)

    def test_a_task_of_a_lost_host_waits_no_longer_than_the_platform_allows(
        self,
    ) -> None:
        # The autonomies of owner and agent and the lease were chosen one by one, and
        # their sum was longer (LOST at the end of a day).
        for kill_ms in ("200", "900", "2000"):
            values = {"Bounds.KillTimeoutMs": kill_ms, "Bounds.MaxHoldMs": "10000"}
            path = render_template("agent.toml", **values)
            settings = load(JobAgentSettings, path)
            bounds = settings.bounds.within(settings.limits)
            self.assertEqual(14.0, settings.limits.longest_wait_s)
            self.assertLess(bounds.owner_autonomy_s + bounds.lease_expiry_s, 14.0)
            self.assertLess(bounds.agent_expiry_s, 14.0)

    def test_a_lost_host_is_given_up_before_its_lasting_tasks_count_as_lost(
        self,
    ) -> None:
        for kill_ms in ("200", "900"):
            values = {"Bounds.KillTimeoutMs": kill_ms, "Bounds.MaxHoldMs": "10000"}
            path = render_template("agent.toml", **values)
            settings = load(JobAgentSettings, path)
            bounds = settings.bounds.within(settings.limits)
            self.assertLess(bounds.agent_expiry_s, 11.5)

    def test_the_deploy_file_starts_existing_verbs(self) -> None:
        deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
        for role in deploy["roles"].values():
            verb = role["run"].split()[3]
            self.assertIn(verb, PROCESS_FACTORY_BY_VERB)
            self.assertTrue((DEPLOY.parent / role["template"]).is_file())

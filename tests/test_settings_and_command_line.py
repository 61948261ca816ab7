"""The settings file, the features file and the command line: what is taken, and which exit codes tell of a fault."""

import pytest

from stileloft import cli
from stileloft.settings import SettingsError, parse
from tests.simulation.cluster import SimulatedCluster


@pytest.fixture(scope="module")
def text() -> str:
    return SimulatedCluster(1).settings("node-0")


def test_unknown_fields_are_ignored(text: str) -> None:
    assert parse("colour = 1\n" + text).deployment.teams[0].name == "core"


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('member = "node-0"', "", "member"),
        ("lease_s = 12.0", 'lease_s = "long"', "lease_s"),
        ("lease_s = 12.0", "lease_s = 0.0", "lease_s"),
        ("txn_ops = 12", "txn_ops = 0", "txn_ops"),
        ("gang_wait_s = 20.0", "gang_wait_s = 0.0", "gang_wait_s"),
        ("gang_peer_s = 3.0", 'gang_peer_s = "soon"', "gang_peer_s"),
        ("txn_ops = 12", "txn_ops = 12\nnext.txn_ops = 1", r"next\.txn_ops"),
        ("txn_ops = 12", "txn_ops = 12\nnext.value_kb = -1.0", r"next\.value_kb"),
        ('listen = "10.0.0.0:8080"', 'listen = "here"', "listen"),
        ("cpus_max = 48.0", "cpus_max = 1.0", "core"),
        ('name = "edge"', 'name = "core"', "twice"),
        ("size = 3", "size = ", "TOML"),
    ],
)
def test_wrong_settings_name_the_field(text: str, old: str, new: str, field: str) -> None:
    assert old in text
    with pytest.raises(SettingsError, match=field):
        parse(text.replace(old, new))


def test_exit_codes(tmp_path, text: str, capsys: pytest.CaptureFixture) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(text)
    bad.write_text(text.replace("lease_s = 12.0", "lease_s = -1.0"))
    assert cli.main(["check-config", str(good)]) == 0
    assert cli.main(["check-config", str(bad)]) == 2
    assert cli.main(["--config", str(bad)]) == 2
    assert cli.main(["serve", "--config", str(tmp_path / "none.toml")]) == 2
    assert "lease_s" in capsys.readouterr().err
    with pytest.raises(SystemExit) as ended:
        cli.main([])
    assert ended.value.code == 2


def test_the_features_file_is_checked_with_the_settings(tmp_path, text: str, capsys: pytest.CaptureFixture) -> None:
    settings, good, bad = tmp_path / "settings.toml", tmp_path / "good.toml", tmp_path / "bad.toml"
    settings.write_text(text)
    good.write_text("[rebuild]\nenabled = true\n")
    bad.write_text("[rebuild]\nfollow_s = 0.0\n")
    assert cli.main(["--features", str(good), "check-config", str(settings)]) == 0
    assert cli.main(["--features", str(bad), "check-config", str(settings)]) == 2
    assert cli.main(["--features", str(bad), "--config", str(settings)]) == 2
    assert cli.main(["--features", str(tmp_path / "none.toml"), "--config", str(settings)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3
    assert "rebuild.follow_s" in lines[0]
    assert "cannot be read" in lines[2]

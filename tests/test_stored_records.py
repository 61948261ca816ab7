"""Keys, ranges and sizes of stored records."""

from stileloft.model import records
from stileloft.protocol import messages
from tests.simulation.cluster import SimulatedCluster


def test_ranges_and_keys() -> None:
    for numbers in (set(), {0}, {0, 1, 2, 7, 9, 10}):
        assert records.from_ranges(records.to_ranges(numbers)) == numbers
    assert records.split_chunk_key(records.chunk_key("j-000412", 17)) == ("j-000412", 17, 0)
    assert records.split_chunk_key(records.chunk_key("j-000412", 17, 2)) == ("j-000412", 17, 2)
    assert records.split_task("j-000412/3") == ("j-000412", 3)


def test_chunks_stay_within_the_value_limit() -> None:
    """A chunk with every task placed on machines of long names."""
    import orjson

    from stileloft.model.chunk_records import whole_chunk_value
    from stileloft.model.jobs import Job
    from stileloft.model.placements import Placement

    for value_kb in (4.0, 16.0):
        size = records.chunk_size(value_kb)
        spec = messages.parse_job(SimulatedCluster(1).job(1) | {"nameId": "j-1"} | {"pieces": size, "crew": "t" * 60})
        held = Job(spec, 0.0, size)
        for index in range(size):
            held.add_placement(Placement(spec.id, index, 123456, "n-" + "9" * 18, "zone-of-a-long-name-1", True))
        assert len(orjson.dumps(whole_chunk_value(held.chunks[0], spec, None))) < value_kb * 1024

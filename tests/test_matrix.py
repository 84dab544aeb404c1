import pytest

from tests import matrix
from tests.matrix_cells import core_cells
from tests.matrix_hosts import host_cells

SEEDS = range(5)
CELLS = core_cells() | host_cells()


@pytest.mark.parametrize("cell", CELLS, ids="/".join)
def test_cell(cell):
    status, remark = matrix.run_cell(CELLS[cell], SEEDS)
    assert status == matrix.PASSED, remark


class TestRegistry:
    def test_every_cell_has_known_step_and_fault(self):
        for step, fault in [*CELLS, *matrix.TESTS]:
            assert step in matrix.STEPS
            assert fault in matrix.FAULTS

    def test_named_tests_exist(self):
        for nodes in matrix.TESTS.values():
            for node in nodes:
                path, *names = node.split("::")
                text = (matrix.ROOT / path).read_text(encoding="utf-8")
                for name in names:
                    assert f" {name}(" in text or f"class {name}:" in text, node

    def test_no_cell_is_both_covered_and_impossible(self):
        both = [
            cell for cell in [*CELLS, *matrix.TESTS] if matrix.reason_impossible(*cell)
        ]
        assert both == []

    def test_failed_cell_reports_its_seed(self):
        def fail(seed):
            assert seed != 3, "fell"

        assert matrix.run_cell([fail], range(5)) == (
            matrix.FAILED,
            "seed 3: fell",
        )

from wagtailstair.core.log_budget import LogBudget


class TestBudget:
    def test_lines_beyond_the_burst_are_left_out(self):
        budget = LogBudget(10.0)
        taken = [budget.take("e", 0.0) for _ in range(50)]
        assert taken[:40] == [0] * 40
        assert taken[40:] == [None] * 10

    def test_the_next_line_reports_the_number_left_out(self):
        budget = LogBudget(10.0)
        for _ in range(43):
            budget.take("e", 0.0)
        assert budget.take("e", 0.2) == 3
        assert budget.take("e", 0.2) == 0

    def test_events_have_budgets_of_their_own(self):
        budget = LogBudget(1.0)
        while budget.take("e", 0.0) is not None:
            continue
        assert budget.take("other", 0.0) == 0

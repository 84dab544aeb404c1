from wagtailstair.logs import error_location
from wagtailstair.logs import format_event


class TestFormat:
    def test_one_line_of_pairs(self):
        line = format_event("e", {"count": 3, "share": 0.25, "name": "a b", "none": ""})
        assert line == 'event=e count=3 share=0.25 name="a b" none=""'

    def test_nothing_breaks_out_of_its_pair(self):
        line = format_event("e", {"text": 'x" other=1\nevent=f\\'})
        assert line == 'event=e text="x\\" other=1\\nevent=f\\\\"'


class TestPlace:
    def test_names_the_place_and_not_the_text(self):
        try:
            raise ValueError("the prompt of somebody")
        except ValueError as error:
            place = error_location(error)
        assert place.startswith("ValueError@test_logs.py:")
        assert "prompt" not in place

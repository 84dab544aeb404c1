from wagtailstair.logs import error_location
from wagtailstair.logs import format_event


class TestFormat:
    def test_event_is_one_line_of_pairs(self):
        line = format_event("e", {"count": 3, "share": 0.25, "name": "a b", "none": ""})
        assert line == 'event=e count=3 share=0.25 name="a b" none=""'

    def test_special_characters_are_escaped(self):
        line = format_event("e", {"text": 'x" other=1\nevent=f\\'})
        assert line == 'event=e text="x\\" other=1\\nevent=f\\\\"'


class TestErrorLocation:
    def test_has_type_and_file_but_no_error_text(self):
        try:
            raise ValueError("the prompt of somebody")
        except ValueError as error:
            location = error_location(error)
        assert location.startswith("ValueError@test_logs.py:")
        assert "prompt" not in location

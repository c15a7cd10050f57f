"""Sizes of incomplete WebSocket messages, however their frames are cut."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiascale.ingress import FrameFollower
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

TEXT, CONTINUATION, PING = 0x1, 0x0, 0x9


def make_frame(size, opcode=TEXT, final=True, masked=True):
    """Return a frame with a payload of a size."""
    first = opcode | (0x80 if final else 0)
    mask_bit = 0x80 if masked else 0
    if size < 126:
        header = bytes([first, mask_bit | size])
    elif size < 65_536:
        header = bytes([first, mask_bit | 126]) + size.to_bytes(2, "big")
    else:
        header = bytes([first, mask_bit | 127]) + size.to_bytes(8, "big")
    return header + (b"mask" if masked else b"") + b"p" * size


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_complete_messages_leave_nothing_wherever_they_are_cut(data):
    sizes = st.sampled_from((0, 1, 125, 126, 70_000))
    frames = data.draw(
        st.lists(st.builds(make_frame, sizes, masked=st.booleans()), min_size=1)
    )
    wire = b"".join(frames)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=8)))
    follower, position = FrameFollower(), 0
    for end in [*cuts, len(wire)]:
        held = follower.feed(wire[position:end])
        assert held <= end
        position = end
    assert held == 0


def test_fragments_of_one_message_add_up_and_pings_between_them_do_not_count():
    follower = FrameFollower()
    assert follower.feed(make_frame(1_000, final=False)) == 1_000
    assert follower.feed(make_frame(100, PING)) == 1_000
    assert follower.feed(make_frame(70_000, CONTINUATION, final=False)) == 71_000
    assert follower.feed(make_frame(200_000, CONTINUATION)[:-1]) == 270_999
    assert follower.feed(b"p") == 0

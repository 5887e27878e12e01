"""One client's commands do not keep the loop from others."""

from loopback_harness import received_text
from resp_harness import Client, RespCluster
from test_stalled_commands import RespLoopbackHarness

from orchidgap.resp.replies import Reply
from orchidgap.resp.slot_queue import SlotQueue
from orchidgap.resp.writers import encode_command

PING = encode_command(b"PING")
COMMANDS = 1_000
CLOCK_STEP_US = 50  # how much time each look at the clock takes here


def test_commands_of_one_read_are_handled_in_several_turns():
    """One read's commands were handled in one turn, which took 0.1 to 0.3 s with short ones."""
    net = RespLoopbackHarness(2_000)
    flooding = net.connect_client(PING)
    other = net.connect_client(PING)
    net.turn()
    assert (received_text(flooding), received_text(other)) == ("+PONG\r\n", "+PONG\r\n")

    def ticking_clock():
        net.now += CLOCK_STEP_US
        return net.now

    net.loop.clock = ticking_clock
    net.send_more(flooding, PING * COMMANDS)
    net.loop.run_once(0)
    net.send_more(other, PING)
    net.loop.run_once(0)
    assert received_text(other) == "+PONG\r\n"
    answered = (received_text(flooding) or "").count("+PONG")
    assert answered < COMMANDS
    for _ in range(COMMANDS):
        net.loop.run_once(0)
        answered += (received_text(flooding) or "").count("+PONG")
    assert answered == COMMANDS
    net.send_more(flooding, PING)
    net.loop.run_once(0)
    assert received_text(flooding) == "+PONG\r\n"


def test_a_command_with_many_parts_is_the_last_that_is_accepted_for_a_while():
    """Split commands counted as one each, however many parts they had."""
    cluster = RespCluster(latency_us=100_000)
    keys = [b"k%d" % number for number in range(2_000)]
    client = Client(cluster)
    client.send(encode_command(b"MGET", *keys) * 10, wait_us=50_000)
    [connection] = cluster.node.clients.open_clients
    assert connection.requests_read == 1
    replies = client.take_replies(wait_us=20_000_000)
    assert replies.count(b"*2000\r\n") + replies.count(b"-") >= 10


class Source:
    received_at_us = capacity_freed_at_us = 0


class CountingReply(Reply):
    """Counts how often it was compared with others of its slot."""

    __slots__ = ("looks",)

    @property
    def is_write(self):
        self.looks += 1
        return False

    @is_write.setter
    def is_write(self, value):
        self.looks = 0


def test_commands_for_one_slot_are_compared_with_one_other_each():
    """A pipeline for one key took the square of its length, once more for each answer: 1.3 s."""
    queue = SlotQueue()
    replies = [CountingReply(Source()) for _ in range(COMMANDS)]
    assert all(queue.add(reply) for reply in replies)
    for reply in replies:
        queue.remove(reply)
        assert queue.admit_next() is None
    assert sum(reply.looks for reply in replies) <= 2 * COMMANDS


def test_reads_run_together_and_writes_alone_in_their_order():
    def make(is_write):
        reply = Reply(Source())
        reply.is_write = is_write
        return reply

    first, second, write, third, fourth = (
        make(is_write) for is_write in (False, False, True, False, False)
    )
    queue = SlotQueue()
    assert [queue.add(each) for each in (first, second, write, third, fourth)] == [
        True,
        True,
        False,
        False,
        False,
    ]
    queue.remove(first)
    assert queue.admit_next() is None
    queue.remove(second)
    assert queue.admit_next() is write and queue.admit_next() is None
    queue.remove(third)  # denied while it waited
    queue.remove(write)
    assert queue.admit_next() is fourth and queue.admit_next() is None

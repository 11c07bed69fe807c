"""The faults of the soak: how each begins and ends, and which promises it excuses."""

import signal


class Fault:
    """A kind of fault. `targets`: attribute of the bed from which a target is drawn, or "store". `begin(bed, target, random)` starts the fault,
    `end(bed, target)`, if given, ends it after a time drawn from `seconds`. `scope`: whom it excuses from bounds on time: "gateway" (the
    target), "store" (all gateways), "stop" (the target, from being in touch only: requests must still be answered), or "replica" (nobody)."""

    def __init__(self, targets, begin, end=None, scope="replica", seconds=(0.5, 4.0)):
        self.targets, self.begin, self.end, self.scope, self.seconds = targets, begin, end, scope, seconds


def set_mode(mode):
    def begin(_bed, replica, _random):
        replica.mode = mode
    return begin


def clear_mode(_bed, replica):
    replica.mode = "ok"


def slow_down(_bed, replica, random):
    replica.delay = random.uniform(0.1, 0.6)


def speed_up(bed, replica):
    replica.delay = bed.work_s


def set_cut(*directions):
    def begin(bed, target, _random):
        bed.link_of(target).cut = frozenset(directions)
    return begin


def set_delay(bed, target, random):
    bed.link_of(target).delay = random.uniform(0.02, 0.3)


def heal(bed, target):
    bed.link_of(target).heal()


def reset(bed, target, _random):
    bed.link_of(target).reset()


def send_signal(number):
    def begin(_bed, gateway, _random):
        gateway.send(number)
    return begin


def resume(_bed, gateway):
    gateway.send(signal.SIGCONT)


def kill_all(bed, _target, _random):
    for gateway in bed.gateways:
        gateway.send(signal.SIGKILL)


def store_fault(status):
    def begin(bed, _store, _random):
        bed.store.fault = status
    return begin


def store_back(bed, _store):
    bed.store.fault = None


# Faults by name. A target may have several at the same time.
FAULTS = {
    "replica_sheds": Fault("replicas", set_mode("shed"), clear_mode),
    "replica_is_silent": Fault("replicas", set_mode("silent"), clear_mode),
    "replica_sends_copies": Fault("replicas", set_mode("copies"), clear_mode),
    "replica_sends_copies_without_id": Fault("replicas", set_mode("copies_without_id"), clear_mode),
    "replica_breaks_off": Fault("replicas", set_mode("short_body"), clear_mode),
    "replica_resets": Fault("replicas", set_mode("reset_body"), clear_mode),
    "replica_is_slow": Fault("replicas", slow_down, speed_up),
    "replica_crashes": Fault("replicas", lambda bed, replica, random: replica.crash()),
    "replica_is_replaced": Fault("replicas", lambda bed, replica, random: bed.replace(replica, random.random() < 0.5)),
    "replica_link_is_slow": Fault("replicas", set_delay, heal),
    "replica_link_is_cut": Fault("replicas", set_cut("to", "from"), heal),
    "replica_link_loses_replies": Fault("replicas", set_cut("from"), heal),
    "replica_link_is_reset": Fault("replicas", reset),
    "store_refuses": Fault("store", store_fault(503), store_back, "store", (0.5, 6.0)),
    "store_forgets_history": Fault("store", lambda bed, store, random: store.forget_history(), None, "store"),
    "store_link_is_cut": Fault("gateways", set_cut("to", "from"), heal, "gateway", (0.5, 6.0)),
    "store_link_is_silent": Fault("gateways", set_cut("from"), heal, "gateway", (0.5, 6.0)),
    "store_link_is_slow": Fault("gateways", set_delay, heal, "gateway"),
    "store_link_is_reset": Fault("gateways", reset, None, "gateway"),
    "gateway_is_suspended": Fault("gateways", send_signal(signal.SIGSTOP), resume, "gateway", (0.5, 5.0)),
    "gateway_is_killed": Fault("gateways", send_signal(signal.SIGKILL), None, "gateway"),
    "gateway_is_stopped": Fault("gateways", send_signal(signal.SIGTERM), None, "stop"),
    "gateway_is_stopped_twice": Fault("gateways", send_signal(signal.SIGTERM), lambda bed, gateway: gateway.send(signal.SIGTERM), "stop", (0.2, 2.0)),
    "gateway_is_reloaded": Fault("gateways", send_signal(signal.SIGHUP), None, "stop"),
    "all_gateways_are_killed": Fault("store", kill_all, None, "store"),
    "configuration_changes": Fault("store", lambda bed, store, random: bed.change_configuration(), None, "stop"),
}

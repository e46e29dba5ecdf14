"""Builds the tasks of a hosted node and connects them."""

import asyncio
import contextlib
import math
import secrets

import eliot

from sesamejunction.border import clients
from sesamejunction.border import eraview
from sesamejunction.border import hostedmetrics
from sesamejunction.border import hostedsettings
from sesamejunction.border import httpclient
from sesamejunction.border import logs
from sesamejunction.border import packets as codec
from sesamejunction.border import registrycodec
from sesamejunction.border import targetconnections
from sesamejunction.commands import bodies
from sesamejunction.commands import hosting
from sesamejunction.commands import largeanswers
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import clientbudget
from sesamejunction.decisions import eras
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import leasing
from sesamejunction.model import messages
from sesamejunction.model import operating
from sesamejunction.model import owning
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.platform import bounds
from sesamejunction.platform import config
from sesamejunction.platform import frontend
from sesamejunction.platform import heartbeathttp
from sesamejunction.platform import machines
from sesamejunction.platform import metrics
from sesamejunction.platform import serverclient
from sesamejunction.platform import store
from sesamejunction.tasks import allocators
from sesamejunction.tasks import audit
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock
from sesamejunction.tasks import copyfetcher
from sesamejunction.tasks import datagrams
from sesamejunction.tasks import follower
from sesamejunction.tasks import intake
from sesamejunction.tasks import line
from sesamejunction.tasks import links
from sesamejunction.tasks import linkserver
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import recovery
from sesamejunction.tasks import registrar
from sesamejunction.tasks import scheduler
from sesamejunction.tasks import shares
from sesamejunction.tasks import targetlease
from sesamejunction.tasks import terms
from sesamejunction.tasks import topicsources
from sesamejunction.tasks import usage
from sesamejunction.tasks import waitquestions
from sesamejunction.ui import hostedqueries

# Limit of requests that wait at this node while their key changes owner.
MAX_WAITING = 256
STORE_RETRY_INTERVAL_S = 0.2
SECRET_BYTES = 32
# Equals no member's incarnation, so that requests go through Links even if
# the target is beside this node.
NO_INCARNATION = 0


def choose_first_record(
    end: int, waited_s: float
) -> registry.SecretRecord | registry.EraRecord | None:
    """Return what a topic without a secret needs next; None for a wait.

    A topic that is empty in a later era has lost nothing. Otherwise the nodes
    that run may write their secret again.
    """
    position = registry.Position.unpack(end)
    if position.era > registry.FIRST_ERA:
        if not position.offset:
            return registry.EraRecord(registry.find_era(end), is_open=True)
        if position.offset > 1 and waited_s < eras.HOLD_MAX_S:
            return None
    return registry.SecretRecord(secrets.token_hex(SECRET_BYTES))


class HostedComponents:
    """The tasks of one node and the clients that they use."""

    def __init__(self, node_settings, incarnation, stack):
        self._settings: hostedsettings.HostedSettings = node_settings
        self._bounds = bounds.decode_bounds(node_settings.bounds)
        self._host = str(node_settings.host)
        self._incarnation = incarnation
        self._stack: contextlib.AsyncExitStack = stack
        self._stopping = False
        self._metrics = hostedmetrics.HostedMetrics()
        self._usage = usage.ProcessUsage(
            usage.Traffic(), self._metrics, self._list_tasks
        )
        self._states = porting.StateView()
        machine_size = machines.decode_machine(
            node_settings.machine,
            node_settings.memory_mb,
            node_settings.max_descriptors,
        )
        self.clients = clients.Clients(
            clientbudget.derive_limits(
                machine_size.memory_mb, machine_size.descriptors
            ),
            self._host,
            self._find_largest_request,
            self._metrics.clients_refused.inc,
        )
        self._eras = eraview.EraView(self._count_era)

    async def build(self, group) -> None:
        """Build and start all tasks; waits until the store answers."""
        enter = self._stack.enter_async_context
        operator_store = await enter(self._build_store())
        fleet_store = await enter(self._build_store())
        write_store = await enter(self._build_store())
        self._operator_topic = store.Topic(
            operator_store, store.OPERATOR_TOPIC
        )
        self._fleet_topic = store.Topic(fleet_store, store.FLEET_TOPIC)
        secret, copy, copied_at = await self._fetch_or_create_secret()
        self._links = await enter(
            links.Links(
                self._incarnation, self._host, self._metrics, self._usage
            )
        )
        self._links.secret = secret
        self._build_views()
        await self._open_datagrams(secret)
        self._build_communication()
        writable_topic = store.Topic(write_store, store.FLEET_TOPIC)
        self._build_target(registrar.Registrar(writable_topic, self._fleet))
        self._build_state()
        self._build_recovery(writable_topic)
        self._fleet.start_with(copy, copied_at)
        self._connections = await enter(
            targetconnections.TargetConnectionPool(*self._target_address())
        )
        self._build_request_path()
        await self._open_peer_port()
        for task in self._list_tasks():
            group.spawn(task.run())
        group.spawn(self._usage.run())
        group.spawn(self._declared.follow())
        group.spawn(self._fleet.follow())

    def _build_store(self) -> store.Store:
        return store.Store(self._settings.log, self._count_call, self._eras)

    def _count_era(self, event: str) -> None:
        self._metrics.era_events.inc({'event': event})

    def _target_address(self):
        address = self._settings.parse_address('target')
        return address.host, address.port

    def _count_call(self, outcome: str) -> None:
        self._metrics.log_calls.inc({'outcome': outcome})

    async def _fetch_or_create_secret(self):
        """Return the fleet's secret; the first node to start creates it.

        Also returns the copy of the fleet's topic that contains it, and the
        boot-clock time at which that was current.
        """
        started_at = clock.read_boot_clock()
        while True:
            try:
                copied_at = clock.read_boot_clock()
                copy = await self._fleet_topic.read_newest()
                item = copy.items.get('secret')
                if item is not None:
                    secret_record = registrycodec.decode_record(
                        'secret', item.value
                    )
                    secret = bytes.fromhex(secret_record.secret)
                    return secret, copy, copied_at
                record = choose_first_record(copy.end, copied_at - started_at)
                if record is None:
                    await asyncio.sleep(STORE_RETRY_INTERVAL_S)
                    continue
                entry = registry.Entry(
                    registrycodec.build_record_key(record),
                    registrycodec.encode_record(record),
                )
                await self._fleet_topic.append(entry, copy.end)
            except errors.AppendConflict:
                continue
            except (errors.LogUnavailable, errors.CodecError) as error:
                eliot.log_message(
                    'node: waiting for the log', reason=str(error)
                )
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    def _build_views(self) -> None:
        self._presence_view = presence.PresenceView()
        self._lease_view = porting.LeaseView()
        self._lease_view.publish(owning.Lease(math.inf))
        self._audit = audit.Audit(
            self._metrics, self._describe_decision_inputs
        )

    async def _open_datagrams(self, secret) -> None:
        """Bind the address for datagrams.

        The bind proves that the former process has ended. Tasks that count a
        time from the start of this process are built after it.
        """
        self._datagrams = datagrams.Datagrams(
            codec.PacketCodec(secret, self._incarnation),
            self._host,
            self._settings.peer_port,
        )
        await self._stack.enter_async_context(self._datagrams)

    def _build_communication(self) -> None:
        count_members = self._presence_view.count_reachable
        count_dropped_read = self._metrics.reads_dropped.inc
        sources = topicsources.TopicSources(
            self._incarnation,
            self._settings.zone,
            self._states,
            self._presence_view,
            self._links,
        )
        # Both followers publish to the registry, which is added once built.
        self._declared_subscribers = []
        self._declared = follower.Follower(
            self._operator_topic,
            self._declared_subscribers,
            count_members,
            count_dropped_read,
            sources,
            self._bounds.apply_s,
            self._eras,
        )
        self._fleet = follower.Follower(
            self._fleet_topic,
            self._declared_subscribers,
            count_members,
            count_dropped_read,
            sources,
            eras=self._eras,
        )
        self._fetchers = tuple(
            copyfetcher.CopyFetcher(topic_follower, self._links)
            for topic_follower in (self._declared, self._fleet)
        )
        self._terms = terms.Terms(
            *(self._incarnation, self._fleet.view, self._links),
            *(self._settings.name, self._datagrams.bound_at),
        )
        self._allocators = allocators.Allocators(
            self._incarnation, self._terms, self._datagrams
        )
        self._shares = shares.Shares(
            self._incarnation, self._allocators, self._datagrams
        )
        self._allocators.own_shares = self._shares
        self._datagrams.subscribe(
            self._shares, (messages.ShareRequest, messages.ShareReply)
        )

    def _build_target(self, fleet_registrar) -> None:
        node_settings = self._settings
        self._registrar = fleet_registrar
        self._lease = targetlease.TargetLease(
            targetlease.Identity(
                node_settings.name,
                self._incarnation,
                node_settings.zone,
                self._host,
                node_settings.peer_port,
                node_settings.target_service,
            ),
            self._fleet.view,
            fleet_registrar,
            self._links,
            self._metrics,
        )
        self._scheduler = scheduler.Scheduler(
            node_settings.target_service,
            self._lease.holdings,
            leave_grace_s=self._bounds.leave_grace_s,
            zone_grace_s=self._bounds.zone_grace_s,
        )
        self._lease.subscribers = (self._scheduler,)
        self._intake = intake.Intake(node_settings.line_mbps, self._scheduler)
        # Without a known speed, large answers are sent whole and at once.
        self._line = self._answers = None
        if node_settings.line_mbps:
            self._line = line.Line(node_settings.line_mbps, self._metrics)
            self._answers = largeanswers.Ports(self._line)
        self._links.answers = self._answers

    def _build_state(self) -> None:
        node_settings = self._settings
        self._chooser = chooser.Chooser(
            self._incarnation,
            node_settings.zone,
            count_retry=self._metrics.retries.inc,
            retry_limits=bounds.decode_retry_limits(node_settings.bounds),
            waits=waitquestions.WaitQuestions(
                *(self._links, self._scheduler, node_settings.target_service)
            ),
            count_choice=self._metrics.choices.inc,
        )
        self._planner = rangeplanner.RangePlanner(
            node_settings.name,
            self._incarnation,
            self._presence_view,
            self._registrar,
            self._links,
            node_settings.record_bytes,
            lambda: self._lease.list_refused() | self._terms.list_refused(),
        )
        self._presence = presence.Presence(
            self._incarnation,
            self._datagrams,
            self._presence_view,
            (self._declared, self._fleet),
            (self._chooser, self._planner),
            self._fetchers,
        )
        self._datagrams.subscribe(
            self._presence, (messages.Probe, messages.Echo)
        )
        self._registry = registrar.Registry(
            store.FLEET_TOPIC,
            config.OperatorTopicDecoder(
                self._metrics.declarations_unreadable.inc
            ),
            (self._states, *self._list_state_subscribers()),
        )
        self._declared_subscribers.append(self._registry)

    def _build_recovery(self, topic) -> None:
        self._recovery = recovery.Recovery(
            *(self._incarnation, self._fleet, topic, self._states),
            *(self._presence_view, self._links, self._eras),
            *(self._planner.plans, self._registrar),
            lambda: self._metrics.facts_restored.inc({}),
        )
        self._declared_subscribers.append(self._recovery)
        self._eras.subscribers += (
            *(self._declared, self._fleet, self._recovery),
        )

    def _build_request_path(self) -> None:
        node_settings = self._settings
        hosting_ports = hosting.Ports(
            self._states,
            self._scheduler,
            self._lease,
            self._lease.holdings,
            serverclient.ServerClient(
                *(self._connections, self._find_target),
                clock.read_boot_clock,
                lambda: self._metrics.loads_unreadable.inc({}),
            ),
            logs.ThrottledLogger(),
            self._metrics,
            clock.read_boot_clock,
            open_runs=hosting.OpenRuns(serverclient.find_request_id),
            answers=self._answers,
            is_stopping=lambda: self._stopping,
        )

        async def host_request(head, body):
            return await hosting.host_request(hosting_ports, head, body)

        async def host_locally(head, body):
            return await hosting.host_request(hosting_ports, head, body, True)

        self._links.host_request = host_locally
        self._bodies = bodies.Ports(hosting_ports, self._intake)
        query_handler = hostedqueries.QueryHandler(
            self._lease,
            self._terms,
            self._scheduler,
            (self._declared, self._fleet),
            self._recovery,
            node_settings.target_service,
        )
        self._links.answer_locally = query_handler.answer_local
        self._answer = query_handler.answer
        self._host_request = host_request
        ports = porting.Ports(
            incarnation=NO_INCARNATION,
            states=self._states,
            gate=self._scheduler,
            lease=self._lease_view,
            owners=None,
            shares=self._shares,
            once=None,
            chooser=self._chooser,
            peers=self._links,
            target=None,
            clock=clock.read_boot_clock,
            waiter_limit=porting.WaiterLimit(MAX_WAITING),
        )
        self.front = frontend.Frontend(
            frontend.FrontendContext(
                ports,
                self._declared.view,
                node_settings.target_service,
                self._audit,
                hosting_ports.open_runs,
                self._bounds.key_trust_s,
                answers=self._answers,
            )
        )
        self.heartbeat_handler = heartbeathttp.HeartbeatHandler(
            node_settings.name,
            self._lease,
            self._is_ready,
            self._metrics.heartbeats_refused.inc,
        )
        self.metrics_page = metrics.MetricsPage(
            self._metrics, self._update_gauges
        )

    async def _open_peer_port(self) -> None:
        self._peer_ports = ports = linkserver.ServerPorts(
            self._incarnation,
            self._links.secret,
            self._host_request,
            self._answer,
            self._bodies,
            self._usage.traffic,
            self.clients,
            answers=self._answers,
        )
        if self._line is not None:
            self._line.find_heard_at = ports.find_heard_at
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: linkserver.LinkServer(ports),
            sock=httpclient.bind_listener(
                self._host, self._settings.peer_port
            ),
        )
        self._stack.callback(self._listener.close)

    def _list_state_subscribers(self) -> tuple:
        """Return the tasks that receive each new state of the fleet."""
        return (
            self._datagrams,
            self._chooser,
            self._scheduler,
            self._lease,
            self._planner,
            self._presence,
            self._terms,
            self._allocators,
            self._shares,
        )

    def _list_tasks(self) -> tuple:
        return (
            self._declared,
            self._fleet,
            *self._fetchers,
            self._registry,
            self._registrar,
            self._recovery,
            self._intake,
            *(() if self._line is None else (self._line,)),
            *self._list_state_subscribers(),
        )

    def _find_target(self) -> str | None:
        standing = self._lease.target_status
        return standing and standing.life and standing.life.target

    def _find_largest_request(self) -> int:
        """Return the memory of the largest request that is allowed."""
        limits = self._states.current.limits
        return clients.find_largest_request(limits)

    def _is_ready(self) -> bool:
        current = self._states.current
        return (
            not self._stopping
            and current.declared_version > 0
            and bool(current.members)
        )

    def begin_stop(self) -> None:
        """Begin a planned stop: tell callers and other nodes to leave."""
        self._stopping = True
        self.front.stopping = True
        self._lease.tell(leasing.StopNode())

    def refuse_new_work(self) -> None:
        """Refuse new work at this node and its target, so that all work ends.

        Callers have left by now, unless they have no other node to use.
        Nodes that forward requests go on sending them until this node ends.
        """
        self.front.refuse_new_work()
        self._scheduler.tell(gating.StopAdmitting())

    def end_requests(self) -> None:
        """Answer the requests of callers that are still open."""
        self.front.end_requests()

    async def close_peer_connections(self, deadline: float) -> None:
        """Ask other nodes to close their connections to this one, and wait.

        The wait ends at ``deadline``, a time of the event loop, at the latest.
        """
        self._listener.close()
        await linkserver.close_connections(self._peer_ports, deadline)

    def count_open_requests(self) -> int:
        """Return the number of requests that run or wait at this node.

        Large answers that are leaving count as well.
        """
        load = self._scheduler.load
        leaving = 0 if self._line is None else self._line.open_answers
        return (
            self.front.open_requests + load.in_flight + load.queued + leaving
        )

    def _describe_decision_inputs(self, head) -> dict:
        """Return versions and ages of the data used to decide on a request."""
        now, current = clock.read_boot_clock(), self._states.current
        description = {
            'declared': current.declared_version,
            'declared_age_s': round(now - self._declared.view.as_of, 2),
            **self._usage.describe(),
        }
        plan = current.ranges.get(head.service)
        key = ranges.parse_key(head.route_key)
        owned_range = plan and key is not None and plan.find(key)
        if owned_range:
            silent = {
                current.members[silent_incarnation].name
                for silent_incarnation in self._presence_view.silent
                if silent_incarnation in current.members
            }
            description['owner'] = owned_range.owner.member
            description['owner_silent'] = owned_range.owner.member in silent
            description['epoch'] = owned_range.epoch
            description['plan_age_s'] = round(now - self._fleet.view.as_of, 2)
        return description

    def _update_gauges(self) -> None:
        """Set the gauges to their present values."""
        now, load = clock.read_boot_clock(), self._scheduler.load
        gauges = {
            'target_running': load.in_flight,
            'target_waiting': load.queued,
            'target_limit': self._scheduler.limit,
            'target_abandoned': self._scheduler.abandoned_count,
            'target_slowness': self._scheduler.slowness,
            'target_cold_rate': self._scheduler.cold_rate,
            'target_sent_last_second': self._scheduler.sent_count,
            'members_silent': len(self._presence_view.silent),
            'declared_version': self._states.current.declared_version,
            'declared_age_seconds': now - self._declared.view.as_of,
            'store_era': self._eras.current + registry.FIRST_ERA,
            'plan_age_seconds': now - self._fleet.view.as_of,
            'hold_margin_seconds': self._lease.holdings.until - now,
            'link_sent_bytes': self._usage.traffic.sent,
            'link_received_bytes': self._usage.traffic.received,
            'clients_held_bytes': self.clients.held_bytes,
            'clients_paused': self.clients.paused_count,
            'clients_connected': self.clients.connection_count,
        }
        if self._line is not None:
            gauges['answer_held_bytes'] = self._line.held_bytes
            gauges['answer_left_bytes'] = self._line.left_bytes
            gauges['answers_open'] = self._line.open_answers
        for name, value in gauges.items():
            self._metrics.set(name, value)

    async def log_dump(self) -> None:
        """Write the state of all tasks to the log."""
        for task in self._list_tasks():
            dumped = await task.ask(operating.GetDump())
            eliot.log_message('node: state dump', task=dumped)

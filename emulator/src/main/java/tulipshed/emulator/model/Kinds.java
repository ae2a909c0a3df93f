package tulipshed.emulator.model;

/** The kinds of messages between the parts of the world, and what each carries. */
public final class Kinds {
    // To nodes.
    public static final int ARRIVAL = 1; // its own: the next client of the front layer comes
    public static final int COMES = 2; // Wish: a client comes back, or from another node
    public static final int WAITED = 3; // its own, Try: the client's wait and the slack are over
    public static final int TIMER = 4; // its own, Later: what the policy asked for
    public static final int UP = 5; // Flow: the member serves
    public static final int ENDED = 6; // Flow, outcome: the member ended it
    public static final int DELAY = 7; // Flow, milliseconds: messages there take so long
    public static final int LIST = 8; // EndpointListDelivery
    public static final int LIFE_OVER = 9; // its own, Flow: the client has had what it wanted
    public static final int LOAD_CHANGES = 10; // its own, Flow
    public static final int LEAVES = 11; // its own, Try: the client leaves before it is answered
    public static final int STOP = 12; // 0 killed, 1 asked to leave
    public static final int START = 13; // its own: the next process starts
    public static final int SEND_AWAY = 14; // its own, Try: a leaving node asks its client to come again
    public static final int RATE = 15; // clients come that many times as often
    public static final int IMPATIENT = 16; // clients come again at once, whatever they are told, for so long
    public static final int CUT = 17; // a part of the world is out of reach from now on; also to members
    public static final int OVERDUE = 18; // its own, Try: an answer would not even be a late one any more
    public static final int RELOAD = 19; // the configuration is read again, discovery is elsewhere
    public static final int EARLY = 20; // that part of the clients leave before they are answered
    public static final int SAYS = 21; // its own, a client's connection: it sends a line
    public static final int LEFT = 22; // its own, process: the time that a node that leaves has is over
    public static final int HOLD_UPS = 23; // now and then a turn takes long, for so long
    public static final int RESUME = 24; // its own: a turn that took long is over
    public static final int HOT_RESTART = 25; // another process starts beside the old one, which hands over
    // To members.
    public static final int DIAL = 30; // Flow
    public static final int DROP = 31; // Flow: the node's side is closed
    public static final int TAKEN = 32; // its own, Flow: set up
    public static final int TICK = 33; // its own
    public static final int LOAD = 34; // Flow, cores
    public static final int DRAINED = 35; // sends its clients away and ends
    public static final int DIES = 36; // 0 in silence, 1 with a reset of all
    public static final int RISES = 37; // a new process
    public static final int SLOW = 38; // that many times slower
    public static final int PAUSE = 39; // for so long
    public static final int NOTICED = 40; // its own, Flow: a client notices that its silent member is gone
    public static final int FAULT = 41; // MemberFaults.Fate, share: of what is asked of it from now on
    // To discovery.
    public static final int WATCH = 50; // version: a node asks for the changes since
    public static final int STATE = 51; // int[] {member, state}, its start
    public static final int TELL = 52; // its own, Runnable: what is due at the nodes by now
    public static final int DARK = 53; // for so long
    public static final int FELL = 54; // int[] {member}: noticed after a time
    public static final int ANSWER = 55; // its own, NodePart, version: a call's turn has come
    public static final int LATE = 56; // what is known comes so much later

    public static final int CLOCK = 57; // a member, milliseconds: its clock is so much ahead from now on

    private Kinds() {}
}

/** @file Heap use of the link between two controllers. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createLogger } from '../src/edge/runtime/logger.js';
import { PeerLinks } from '../src/edge/peers/peer-links.js';
import { reserveAddress } from '../test/standins/cluster.js';

const MEASURED_MS = 3000;

/** Returns the heap bytes that the link of two controllers uses, both ends of both connections, after 3 s of statuses. */
export async function measurePeerLinkBytes(): Promise<number> {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const heapUsed = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
  };
  const logger = createLogger('peer-link');
  const addresses = [reserveAddress(), reserveAddress()] as const;
  const link = (own: 0 | 1): PeerLinks => {
    const other = own === 0 ? 1 : 0;
    const label = String(own);
    const known = [{ label: String(other), endpoint: addresses[other] }];
    return new PeerLinks(
      addresses[own],
      known,
      () => ({ label, isLeader: false, stateStoreContactMs: 0, fencingToken: 0n }),
      logger,
    );
  };
  const before = heapUsed();
  const links = [link(0), link(1)];
  const subscriptions = links.map((peerLink) => peerLink.start());
  await new Promise((done) => setTimeout(done, MEASURED_MS));
  const after = heapUsed();
  if (!links.every((peerLink) => peerLink.peersServing() === 1))
    throw new Error('the controllers did not link');
  for (const subscription of subscriptions) subscription.unsubscribe();
  return after - before;
}

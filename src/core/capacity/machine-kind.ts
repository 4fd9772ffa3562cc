/** @file Kinds of machines that can be scaled out, as the cloud distinguishes them. */

/** A machine type in a zone, spot or on demand. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Returns the key of a kind in maps. */
export const machineKindKey = ({ type, zone, spot }: MachineKind): string =>
  `${type}|${zone}|${spot ? 'spot' : 'on-demand'}`;

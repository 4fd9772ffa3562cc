/** @file Amounts of the resources that tasks request and machines offer. */

/** Resources of a machine or a request; fractions of a CPU or GPU are possible. */
export interface Resources {
  cpus: number;
  gpus: number;
  /** In GB. */
  memory: number;
}
